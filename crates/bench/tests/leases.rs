//! A holder of the capacity lease that is frozen past its term.
//!
//! What remains: a holder that is stopped between its last look at the clock
//! and the send of an order sends it when it wakes. An engine that checks
//! fencing numbers refuses it. One that ignores them takes it, and serves the
//! wrong model until the holder of that time reads it back: one round, 2 s for
//! up to 10 engines. The second test makes such a late order itself.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bench::poll_until;
use bench::world::{Daemon, DataCentre, World};
use schema::config::{Capacity, Fencing};
use schema::engine::Order;
use schema::objects::{Document, Lease};
use standin::engine;
use support::MODEL;

/// lease and order time-out, as the daemon has them
const LEASE: Duration = Duration::from_secs(12);
/// longest time an order is under way
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);
/// longest wait for a first holder
const ELECTED_WITHIN: Duration = Duration::from_secs(10);
/// longest wait for a successor: the lease, a look every quarter of it, a step
const SUCCEEDED_WITHIN: Duration = Duration::from_secs(20);
/// longest wait for an order: three rounds
const ORDERED_WITHIN: Duration = Duration::from_secs(8);
/// model that nobody wants
const WRONG: &str = "another-model";

/// two data centres whose engines take orders
fn world(fencing: Fencing) -> World {
    let south = |name| DataCentre::new("kyushu-south", name);
    let engine = engine::Options::builder().fencing(fencing).load_ms(100);
    let capacity = Capacity {
        service: MODEL.to_owned(),
        floor: 1,
        ceiling: 4,
        spare: 0,
        load_percent: 70,
        on_demand_percent: 0,
        hold: false,
    };
    let builder = World::builder()
        .engine(engine.model(MODEL.to_owned()).build())
        .data_centre(south("kumamoto-a").daemons(1).engines(MODEL, 2))
        .data_centre(south("kagoshima-a").daemons(1).engines(MODEL, 2))
        .capacity(capacity);
    builder.start().expect("a world")
}

/// the lease as the store has it
fn lease(world: &World) -> Option<Lease> {
    let url = format!(
        "http://{}/apis/agateloom.dev/v1/namespaces/agateloom/leases/capacity",
        world.objects()
    );
    let answer = attohttpc::get(url).send().ok()?;
    let document: Document = answer.error_for_status().ok()?.json().ok()?;
    serde_json::from_value(document.spec?).ok()
}

/// the lease once a daemon other than `former` holds it
fn held_by_another(world: &World, former: &str, patience: Duration) -> Lease {
    let found = poll_until(patience, || {
        lease(world).filter(|lease| !lease.holder.is_empty() && lease.holder != former)
    });
    found.expect("a holder of the lease")
}

fn daemon<'a>(world: &'a World, lease: &Lease) -> &'a Arc<Daemon> {
    let vm = lease.holder.split('/').next().unwrap_or_default();
    let found = world.daemons().iter().find(|daemon| daemon.vm() == vm);
    found.expect("the holder's daemon")
}

fn orders(world: &World) -> Vec<Order> {
    let read = |engine: &bench::world::Engine| {
        let url = format!("http://{}/v1/orders", engine.machine.address);
        let answer = attohttpc::get(url).send().expect("an answer");
        answer.json().expect("an order")
    };
    world.engines().iter().map(read).collect()
}

/// sends an order as a holder with this number would; gives the status
fn send_order(world: &World, engine: usize, fence: u64) -> u16 {
    let order = Order {
        fence,
        model: WRONG.to_owned(),
        adapter: String::new(),
        version: String::new(),
        role: "mixed".to_owned(),
    };
    let url = format!(
        "http://{}/v1/orders",
        world.engines()[engine].machine.address
    );
    let request = attohttpc::put(url).json(&order).expect("a body");
    request.send().expect("an answer").status().as_u16()
}

/// orders that a daemon has sent, by its log
fn sent_orders(daemon: &Daemon) -> usize {
    let log = daemon.with_process(|child| Ok(child.log())).expect("a log");
    log.lines()
        .filter(|line| line.contains("event=order "))
        .count()
}

#[test]
fn a_frozen_holder_orders_nothing_that_a_checking_engine_takes() {
    let world = world(Fencing::Checked);
    let first = held_by_another(&world, "", ELECTED_WITHIN);
    let ordered_by = |fence: u64| {
        let all = |orders: Vec<Order>| orders.iter().all(|order| order.fence == fence);
        poll_until(ORDERED_WITHIN, || all(orders(&world)).then_some(()))
    };
    ordered_by(first.fence).expect("orders of the first holder");
    let frozen = daemon(&world, &first);
    frozen.pause().expect("a pause");
    let second = held_by_another(&world, &first.holder, SUCCEEDED_WITHIN);
    assert!(second.fence > first.fence);
    ordered_by(second.fence).expect("orders of the successor");
    let sent = sent_orders(frozen);
    frozen.resume().expect("a resume");
    for engine in 0..world.engines().len() {
        assert_eq!(send_order(&world, engine, first.fence), 409);
    }
    // a life of the lease, in which the former holder looks at it again
    let until = Instant::now() + LEASE;
    while Instant::now() < until {
        for order in orders(&world) {
            assert_eq!((order.fence, order.model.as_str()), (second.fence, MODEL));
        }
    }
    assert_eq!(sent_orders(frozen), sent, "the former holder ordered");
}

#[test]
fn an_engine_that_ignores_numbers_is_brought_to_the_wanted_state() {
    let world = world(Fencing::Ignored);
    let first = held_by_another(&world, "", ELECTED_WITHIN);
    let frozen = daemon(&world, &first);
    frozen.pause().expect("a pause");
    let second = held_by_another(&world, &first.holder, SUCCEEDED_WITHIN);
    let taken = Instant::now();
    // what the former holder had under way arrives after its lease
    assert_eq!(send_order(&world, 0, first.fence), 200);
    let is_right = || orders(&world)[0].model == MODEL;
    let within = LEASE + ORDER_TIMEOUT + ORDERED_WITHIN;
    poll_until(within, || is_right().then_some(())).expect("the wanted state");
    let waited = taken.elapsed();
    let least = LEASE + ORDER_TIMEOUT - Duration::from_secs(1);
    assert!(waited >= least, "the successor ordered after {waited:?}");
    // the former holder wakes, and what it had under way arrives once more
    let sent = sent_orders(frozen);
    frozen.resume().expect("a resume");
    assert_eq!(send_order(&world, 0, first.fence), 200);
    poll_until(ORDERED_WITHIN, || is_right().then_some(())).expect("the wanted state again");
    assert_eq!(sent_orders(frozen), sent, "the former holder ordered");
    assert_eq!(lease(&world).map(|lease| lease.fence), Some(second.fence));
}

#[test]
fn a_holder_that_stops_hands_the_lease_over() {
    let world = world(Fencing::Checked);
    let first = held_by_another(&world, "", ELECTED_WITHIN);
    daemon(&world, &first).terminate().expect("a stop");
    let second = held_by_another(&world, &first.holder, LEASE / 2);
    assert!(second.fence > first.fence);
}
