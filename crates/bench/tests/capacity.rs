//! Capacity follows the preset in force, through real daemons and a cloud that
//! runs an engine on each VM it starts.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bench::client::{Answer, Ask};
use bench::world::{Builder, DataCentre, World};
use bench::{eventually, poll_until};
use schema::cloud::{Market, State, Vm};
use schema::config::{Capacity, Preset};
use schema::objects;
use standin::cloud::{self, Faults, Refusal};
use standin::engine;
use support::{MODEL, assert_whole, no_change, set_store, settle};

/// longest wait for a few VMs: two plans, a start, the list's lag
const STARTED_WITHIN: Duration = Duration::from_secs(30);
/// longest wait for a drained VM to be removed: the settle time and a stream
const REMOVED_WITHIN: Duration = Duration::from_secs(45);
/// time in which a drained, idle VM would be removed if it could be
const WATCHED: Duration = Duration::from_secs(15);

/// two data centres without upstream VMs
fn empty(floor: u32, ceiling: u32) -> Builder {
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
fn live(world: &World) -> Vec<Vm> {
    let mut vms = world.cloud().list().vms;
    vms.retain(|vm| !vm.upstream.is_empty() && vm.state == State::Live);
    vms
}

fn wait_live(world: &World, count: usize) -> Vec<Vm> {
    let vms = poll_until(STARTED_WITHIN, || {
        let vms = live(world);
        (vms.len() == count).then_some(vms)
    });
    vms.unwrap_or_else(|| panic!("not {count} live VMs: {:?}", live(world)))
}

fn is_listed(world: &World, name: &str) -> bool {
    world.cloud().list().vms.iter().any(|vm| vm.name == name)
}

/// streams answers until told to end, and gives them all
fn stream_until(world: &World, first: usize, end: &AtomicBool) -> Vec<Answer> {
    let client = world.client();
    let mut answers = Vec::new();
    while !end.load(Ordering::Acquire) {
        let prompt = format!("sermon {first} of {}", answers.len());
        let ask = Ask::new(MODEL, &prompt, 200);
        let answer = client.complete(first, &ask);
        assert_whole(&ask, &answer);
        answers.extend(answer.ok());
    }
    answers
}

#[test]
fn a_floor_brings_vms_up_from_nothing_and_they_serve() {
    let world = empty(3, 4).start().expect("a world");
    let vms = wait_live(&world, 3);
    settle(&world, &world.client());
    for daemon in 0..2 {
        let ask = Ask::new(MODEL, "an itinerary", 100);
        assert_whole(&ask, &world.client().complete(daemon, &ask));
    }
    for vm in vms {
        eventually("the engine has its order", STARTED_WITHIN, || {
            let order = attohttpc::get(format!("http://{}/v1/orders", vm.address)).send();
            let order = order.and_then(|answer| answer.json::<schema::engine::Order>());
            order.is_ok_and(|order| order.model == MODEL && order.fence > 0)
        });
    }
}

#[test]
fn a_reclaimed_vm_is_replaced_before_it_is_gone() {
    let world = empty(2, 3).start().expect("a world");
    let vms = wait_live(&world, 2);
    settle(&world, &world.client());
    let lost = &vms[0].name;
    let ask = Ask::new(MODEL, "a guide to the botanicals", 300);
    let answer = world.client().complete_watching(0, &ask, |count| {
        if count == 100 {
            world.reclaim(lost, 10);
        }
    });
    assert_whole(&ask, &answer);
    eventually("two others are live", Duration::from_secs(10), || {
        let others = live(&world).iter().filter(|vm| vm.name != *lost).count();
        others == 2 && is_listed(&world, lost)
    });
}

#[test]
fn presets_raise_and_lower_capacity_and_cut_nothing_off() {
    let peak = Preset {
        name: "peak".to_owned(),
        admit_priority: 0,
        capacity: vec![capacity(4, 4)],
    };
    let world = empty(2, 2).preset(peak).start().expect("a world");
    wait_live(&world, 2);
    settle(&world, &world.client());
    let end = &AtomicBool::new(false);
    let world = &world;
    let answers: Vec<Answer> = thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|caller| scope.spawn(move || stream_until(world, caller, end)))
            .collect();
        let changed = thread::scope(|scope| scope.spawn(|| raise_and_lower(world)).join());
        end.store(true, Ordering::Release);
        let answers = callers.into_iter().map(|caller| caller.join());
        let answers = answers.flat_map(|answers| answers.expect("whole answers"));
        let answers = answers.collect();
        changed.expect("the presets took effect");
        answers
    });
    assert!(answers.len() >= 8, "{} answers", answers.len());
    for answer in &answers {
        assert_eq!(answer.reattached, 0, "a caller had to come back");
    }
    for vm in live(world) {
        let runs = world.cloud().with_engine(&vm.name, engine::Server::record);
        for run in runs.unwrap_or_default() {
            assert_eq!(run.from, 0, "a stream was moved to {}", vm.name);
        }
    }
}

fn raise_and_lower(world: &World) {
    let operator = world.operator();
    operator.run(&["preset", "use", "peak"]).expect("peak");
    wait_live(world, 4);
    operator
        .run(&["preset", "use", "ordinary"])
        .expect("ordinary");
    eventually("VMs drain first", STARTED_WITHIN, || {
        let status = operator.run(&["status"]).unwrap_or_default();
        assert_eq!(live(world).len(), 4, "removed without a drain");
        status.contains("leaving")
    });
    eventually("two VMs are left", REMOVED_WITHIN, || {
        live(world).len() == 2
    });
}

#[test]
fn refused_starts_fall_back_to_on_demand() {
    let world = empty(0, 4).start().expect("a world");
    world.cloud().set_faults(Faults {
        refuse: vec![Refusal {
            zone: String::new(),
            market: Some(Market::Reclaimable),
        }],
        ..Faults::default()
    });
    let mut declaration = world.declaration().clone();
    declaration.presets[0].capacity = vec![capacity(2, 4)];
    world.operator().apply(&declaration).expect("a change");
    let vms = wait_live(&world, 2);
    assert!(
        vms.iter().all(|vm| vm.market == Market::OnDemand),
        "{vms:?}"
    );
    settle(&world, &world.client());
}

#[test]
fn without_the_store_losses_are_replaced_and_nothing_is_removed() {
    let world = empty(2, 5).start().expect("a world");
    let vms = wait_live(&world, 2);
    settle(&world, &world.client());
    set_outage(&world, true);
    let (drained, lost) = (&vms[0].name, &vms[1].name);
    world.operator().run(&["drain", drained]).expect("a drain");
    world.reclaim(lost, 3);
    eventually("the loss is replaced", STARTED_WITHIN, || {
        let others = live(&world);
        others
            .iter()
            .any(|vm| vm.name != *drained && vm.name != *lost)
    });
    settle(&world, &world.client());
    let until = Instant::now() + WATCHED;
    while Instant::now() < until {
        assert!(is_listed(&world, drained), "removed without the store");
        let ask = Ask::new(MODEL, "a verse", 20);
        assert_whole(&ask, &world.client().complete(0, &ask));
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
    set_store(world, &faults);
}
