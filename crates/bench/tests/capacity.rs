//! Capacity follows the preset in force. Real daemons order VMs from a cloud stand-in that
//! runs an engine on each VM it starts.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bench::client::{Completion, Request};
use bench::world::{Builder, DataCentre, World};
use bench::{eventually, poll_until};
use schema::cloud::{Market, State, Vm};
use schema::config::{Capacity, Preset};
use schema::objects;
use standin::cloud::{self, Faults, Refusal};
use standin::engine;
use support::{MODEL, assert_complete, no_change, set_store_faults, wait_served};

/// limit for starting a few VMs: two planning rounds, a VM start and the lag of the VM list
const STARTED_WITHIN: Duration = Duration::from_secs(30);
/// limit for removing a drained VM: the wait_served time and the rest of a stream
const REMOVED_WITHIN: Duration = Duration::from_secs(45);
/// time in which a drained, idle VM would be removed if the store were available
const WATCHED: Duration = Duration::from_secs(15);

/// two data centres without upstream VMs
fn world_without_vms(floor: u32, ceiling: u32) -> Builder {
    let south = |name| DataCentre::new("kyushu-south", name);
    let engine = engine::Options::builder().step_us(10_000).load_ms(200);
    let cloud = cloud::Options::builder().lag_ms(300).start_ms(500);
    World::builder()
        .engine(engine.build())
        .cloud(cloud.spawn_engines(true).build())
        .data_centre(south("kumamoto-a").daemons(1).engines(MODEL, 0))
        .data_centre(south("kagoshima-a").daemons(1).engines(MODEL, 0))
        .capacity(capacity(floor, ceiling))
}

fn capacity(floor: u32, ceiling: u32) -> Capacity {
    Capacity {
        service: MODEL.to_owned(),
        floor,
        ceiling,
        spare: 0,
        load_percent: 70,
        on_demand_percent: 0,
        hold: false,
    }
}

/// upstream VMs that the cloud lists as live
fn live_vms(world: &World) -> Vec<Vm> {
    let mut vms = world.cloud().list().vms;
    vms.retain(|vm| !vm.upstream.is_empty() && vm.state == State::Live);
    vms
}

fn wait_live(world: &World, count: usize) -> Vec<Vm> {
    let vms = poll_until(STARTED_WITHIN, || {
        let vms = live_vms(world);
        (vms.len() == count).then_some(vms)
    });
    vms.unwrap_or_else(|| panic!("expected {count} live VMs, found {:?}", live_vms(world)))
}

fn is_listed(world: &World, name: &str) -> bool {
    world.cloud().list().vms.iter().any(|vm| vm.name == name)
}

/// streams completions until `end` is set, and gives them all
fn stream_until(world: &World, first: usize, end: &AtomicBool) -> Vec<Completion> {
    let client = world.client();
    let mut completions = Vec::new();
    while !end.load(Ordering::Acquire) {
        let prompt = format!("sermon {first} of {}", completions.len());
        let request = Request::new(MODEL, &prompt, 200);
        let completion = client.complete(first, &request);
        assert_complete(&request, &completion);
        completions.extend(completion.ok());
    }
    completions
}

#[test]
fn a_floor_starts_vms_that_serve() {
    let world = world_without_vms(3, 4).start().expect("world must start");
    let vms = wait_live(&world, 3);
    wait_served(&world, &world.client());
    for daemon in 0..2 {
        let request = Request::new(MODEL, "an itinerary", 100);
        assert_complete(&request, &world.client().complete(daemon, &request));
    }
    for vm in vms {
        eventually("the engine has received its order", STARTED_WITHIN, || {
            let order = attohttpc::get(format!("http://{}/v1/orders", vm.address)).send();
            let order = order.and_then(|response| response.json::<schema::engine::Order>());
            order.is_ok_and(|order| order.model == MODEL && order.fence > 0)
        });
    }
}

#[test]
fn a_reclaimed_vm_is_replaced_before_it_is_terminated() {
    let world = world_without_vms(2, 3).start().expect("world must start");
    let vms = wait_live(&world, 2);
    wait_served(&world, &world.client());
    let reclaimed = &vms[0].name;
    let request = Request::new(MODEL, "a guide to the botanicals", 300);
    let completion = world.client().complete_with_progress(0, &request, |count| {
        if count == 100 {
            world.reclaim(reclaimed, 10);
        }
    });
    assert_complete(&request, &completion);
    eventually("two other VMs are live", Duration::from_secs(10), || {
        let others = live_vms(&world)
            .iter()
            .filter(|vm| vm.name != *reclaimed)
            .count();
        others == 2 && is_listed(&world, reclaimed)
    });
}

#[test]
fn presets_raise_and_lower_capacity_without_interrupting_streams() {
    let peak = Preset {
        name: "peak".to_owned(),
        admit_priority: 0,
        capacity: vec![capacity(4, 4)],
    };
    let world = world_without_vms(2, 2)
        .preset(peak)
        .start()
        .expect("world must start");
    wait_live(&world, 2);
    wait_served(&world, &world.client());
    let end = &AtomicBool::new(false);
    let world = &world;
    let completions: Vec<Completion> = thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|caller| scope.spawn(move || stream_until(world, caller, end)))
            .collect();
        let changed = thread::scope(|scope| scope.spawn(|| raise_and_lower(world)).join());
        end.store(true, Ordering::Release);
        let completions = callers.into_iter().map(|caller| caller.join());
        let completions = completions.flat_map(|completions| completions.expect("caller panicked"));
        let completions = completions.collect();
        changed.expect("presets must take effect");
        completions
    });
    assert!(completions.len() >= 8, "{} completions", completions.len());
    for completion in &completions {
        assert_eq!(completion.reattached, 0, "a caller had to reattach");
    }
    for vm in live_vms(world) {
        let runs = world.cloud().with_engine(&vm.name, engine::Server::record);
        for run in runs.unwrap_or_default() {
            assert_eq!(run.from, 0, "a stream was moved to {}", vm.name);
        }
    }
}

fn raise_and_lower(world: &World) {
    let operator = world.operator();
    operator
        .run(&["preset", "use", "peak"])
        .expect("switch to preset peak");
    wait_live(world, 4);
    operator
        .run(&["preset", "use", "ordinary"])
        .expect("switch to preset ordinary");
    eventually("VMs drain before they are removed", STARTED_WITHIN, || {
        let status = operator.run(&["status"]).unwrap_or_default();
        assert_eq!(live_vms(world).len(), 4, "VMs were removed without a drain");
        status.contains("leaving")
    });
    eventually("two VMs remain", REMOVED_WITHIN, || {
        live_vms(world).len() == 2
    });
}

#[test]
fn refused_reclaimable_vms_are_replaced_by_on_demand_vms() {
    let world = world_without_vms(0, 4).start().expect("world must start");
    world.cloud().set_faults(Faults {
        refuse: vec![Refusal {
            zone: String::new(),
            market: Some(Market::Reclaimable),
        }],
        ..Faults::default()
    });
    let mut declaration = world.declaration().clone();
    declaration.presets[0].capacity = vec![capacity(2, 4)];
    world
        .operator()
        .apply(&declaration)
        .expect("declaration must be accepted");
    let vms = wait_live(&world, 2);
    assert!(
        vms.iter().all(|vm| vm.market == Market::OnDemand),
        "{vms:?}"
    );
    wait_served(&world, &world.client());
}

#[test]
fn during_a_store_outage_lost_vms_are_replaced_and_none_is_removed() {
    let world = world_without_vms(2, 5).start().expect("world must start");
    let vms = wait_live(&world, 2);
    wait_served(&world, &world.client());
    set_outage(&world, true);
    let (drained, reclaimed) = (&vms[0].name, &vms[1].name);
    world
        .operator()
        .run(&["drain", drained])
        .expect("drain must be accepted");
    world.reclaim(reclaimed, 3);
    eventually("the reclaimed VM is replaced", STARTED_WITHIN, || {
        let others = live_vms(&world);
        others
            .iter()
            .any(|vm| vm.name != *drained && vm.name != *reclaimed)
    });
    wait_served(&world, &world.client());
    let until = Instant::now() + WATCHED;
    while Instant::now() < until {
        assert!(
            is_listed(&world, drained),
            "drained VM {drained} was removed during the store outage"
        );
        let request = Request::new(MODEL, "a verse", 20);
        assert_complete(&request, &world.client().complete(0, &request));
    }
    set_outage(&world, false);
    eventually("the drained VM is removed", REMOVED_WITHIN, || {
        !is_listed(&world, drained)
    });
}

fn set_outage(world: &World, outage: bool) {
    let faults = objects::Faults {
        outage: Some(outage),
        ..no_change()
    };
    set_store_faults(world, &faults);
}
