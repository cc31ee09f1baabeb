//! Holders of the capacity lease that are paused beyond their term, or stop.
//!
//! Known limit: a holder that is paused between its last check of the clock and the sending
//! of an order sends the order when it resumes. An engine that checks fencing tokens rejects
//! it. One that ignores them accepts it and serves the wrong model until the current holder
//! reads the order back: one round, 2 s for up to 10 engines. The second test sends such a
//! late order itself.

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

/// duration of the daemons' lease
const LEASE: Duration = Duration::from_secs(12);
/// the daemons' time-out of an order
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);
/// limit for the first holder to acquire the lease
const ELECTED_WITHIN: Duration = Duration::from_secs(10);
/// limit for a successor to acquire the lease: its duration, a read every quarter of that, a step
const SUCCEEDED_WITHIN: Duration = Duration::from_secs(20);
/// limit for an order to reach the engines: three rounds
const ORDERED_WITHIN: Duration = Duration::from_secs(8);
/// model that no holder orders
const UNWANTED_MODEL: &str = "another-model";

/// two data centres whose engines accept orders
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
    builder.start().expect("world must start")
}

/// the lease in the store
fn lease(world: &World) -> Option<Lease> {
    let url = format!(
        "http://{}/apis/agateloom.dev/v1/namespaces/agateloom/leases/capacity",
        world.objects()
    );
    let response = attohttpc::get(url).send().ok()?;
    let document: Document = response.error_for_status().ok()?.json().ok()?;
    serde_json::from_value(document.spec?).ok()
}

/// waits until a daemon other than `former` holds the lease
fn wait_for_holder(world: &World, former: &str, timeout: Duration) -> Lease {
    let found = poll_until(timeout, || {
        lease(world).filter(|lease| !lease.holder.is_empty() && lease.holder != former)
    });
    found.expect("no other daemon acquired the lease in time")
}

fn daemon<'a>(world: &'a World, lease: &Lease) -> &'a Arc<Daemon> {
    let vm = lease.holder.split('/').next().unwrap_or_default();
    let found = world.daemons().iter().find(|daemon| daemon.vm() == vm);
    found.expect("holder must be a daemon of the world")
}

fn orders(world: &World) -> Vec<Order> {
    let read = |engine: &bench::world::Engine| {
        let url = format!("http://{}/v1/orders", engine.machine.address);
        let response = attohttpc::get(url).send().expect("engine must respond");
        response.json().expect("response must contain the order")
    };
    world.engines().iter().map(read).collect()
}

/// sends an order with this fencing token to an engine; gives the HTTP status
fn send_order(world: &World, engine: usize, fence: u64) -> u16 {
    let order = Order {
        fence,
        model: UNWANTED_MODEL.to_owned(),
        adapter: String::new(),
        version: String::new(),
        role: "mixed".to_owned(),
    };
    let url = format!(
        "http://{}/v1/orders",
        world.engines()[engine].machine.address
    );
    let request = attohttpc::put(url)
        .json(&order)
        .expect("serialize the order");
    request
        .send()
        .expect("engine must respond")
        .status()
        .as_u16()
}

/// number of orders that a daemon has sent according to its log
fn sent_orders(daemon: &Daemon) -> usize {
    let log = daemon
        .with_process(|child| Ok(child.log()))
        .expect("read the log");
    log.lines()
        .filter(|line| line.contains("event=order "))
        .count()
}

#[test]
fn engines_that_check_fencing_tokens_accept_no_order_of_a_paused_holder() {
    let world = world(Fencing::Checked);
    let first = wait_for_holder(&world, "", ELECTED_WITHIN);
    let ordered_by = |fence: u64| {
        let all = |orders: Vec<Order>| orders.iter().all(|order| order.fence == fence);
        poll_until(ORDERED_WITHIN, || all(orders(&world)).then_some(()))
    };
    ordered_by(first.fence).expect("engines did not get the first holder's orders in time");
    let paused = daemon(&world, &first);
    paused.pause().expect("pause the daemon");
    let second = wait_for_holder(&world, &first.holder, SUCCEEDED_WITHIN);
    assert!(second.fence > first.fence);
    ordered_by(second.fence).expect("engines did not get the successor's orders in time");
    let sent = sent_orders(paused);
    paused.resume().expect("resume the daemon");
    for engine in 0..world.engines().len() {
        assert_eq!(send_order(&world, engine, first.fence), 409);
    }
    // One duration of the lease, within which the former holder reads it again.
    let until = Instant::now() + LEASE;
    while Instant::now() < until {
        for order in orders(&world) {
            assert_eq!((order.fence, order.model.as_str()), (second.fence, MODEL));
        }
    }
    assert_eq!(sent_orders(paused), sent, "the former holder sent an order");
}

#[test]
fn an_engine_that_ignores_fencing_tokens_returns_to_the_desired_state() {
    let world = world(Fencing::Ignored);
    let first = wait_for_holder(&world, "", ELECTED_WITHIN);
    let paused = daemon(&world, &first);
    paused.pause().expect("pause the daemon");
    let second = wait_for_holder(&world, &first.holder, SUCCEEDED_WITHIN);
    let succeeded_at = Instant::now();
    // An order that the former holder had in flight arrives after its lease expired.
    assert_eq!(send_order(&world, 0, first.fence), 200);
    let is_desired = || orders(&world)[0].model == MODEL;
    let within = LEASE + ORDER_TIMEOUT + ORDERED_WITHIN;
    poll_until(within, || is_desired().then_some(()))
        .expect("engine did not return to the desired state in time");
    let waited = succeeded_at.elapsed();
    let min_wait = LEASE + ORDER_TIMEOUT - Duration::from_secs(1);
    assert!(
        waited >= min_wait,
        "the successor ordered after {waited:?}, less than {min_wait:?}"
    );
    // The former holder resumes, and its order arrives once more.
    let sent = sent_orders(paused);
    paused.resume().expect("resume the daemon");
    assert_eq!(send_order(&world, 0, first.fence), 200);
    poll_until(ORDERED_WITHIN, || is_desired().then_some(()))
        .expect("engine did not return to the desired state after the second late order");
    assert_eq!(sent_orders(paused), sent, "the former holder sent an order");
    assert_eq!(lease(&world).map(|lease| lease.fence), Some(second.fence));
}

#[test]
fn a_holder_that_stops_releases_the_lease() {
    let world = world(Fencing::Checked);
    let first = wait_for_holder(&world, "", ELECTED_WITHIN);
    daemon(&world, &first).terminate().expect("stop the daemon");
    let second = wait_for_holder(&world, &first.holder, LEASE / 2);
    assert!(second.fence > first.fence);
}
