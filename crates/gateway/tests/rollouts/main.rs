//! Roll-outs over several daemons: a good version gets all requests in time, a bad one is stopped
//! everywhere, and neither depends on one daemon.

mod capacity;
mod failures;
mod fleet;
mod requests;
#[path = "../support/mod.rs"]
mod support;

use std::time::Duration;

use fleet::{Fleet, RESPONSE_TIME, delayed, response};
use support::run;
use tokio::time::sleep;

/// duration of a roll-out
const DURATION: Duration = Duration::from_secs(8);

/// duration of a roll-out whose evidence has to suffice before the share rises
const LONG_DURATION: Duration = Duration::from_secs(12);

/// zones of daemons that report over delegates
const ZONES: [&str; 14] = [
    "a", "a", "a", "a", "a", "b", "b", "b", "b", "b", "c", "c", "c", "c",
];

/// guards against a roll-out that does not reach all daemons, or is completed while one of them still
/// sends requests to the old version, whose VMs then stop
#[test]
fn good_version_gets_all_requests_before_the_deadline() {
    run(async {
        let mut fleet = Fleet::start(4).await;
        fleet.call();
        sleep(Duration::from_secs(1)).await;
        let requested_at = fleet.request(DURATION).await;
        fleet.wait_for_state("completed", DURATION).await;
        let completed_at = tokio::time::Instant::now();
        for vm in &fleet.old {
            vm.crash();
            fleet.store.delete("vms", &vm.vm.id);
        }
        sleep(Duration::from_secs(1)).await;
        fleet.end_calls();
        assert!(completed_at < requested_at + DURATION);
        assert_eq!(fleet.store.written_states(), ["in_progress", "completed"]);
        assert_eq!(Fleet::received(&fleet.old, completed_at), 0);
        let counts = &fleet.counts;
        assert_eq!((counts.lost.get(), counts.refused.get()), (0, 0));
    });
}

async fn stop_of(zones: &[&str], script: support::Script) {
    let mut fleet = Fleet::with(zones).await;
    fleet.call();
    sleep(Duration::from_secs(1)).await;
    let requested_at = fleet.request(LONG_DURATION).await;
    for vm in &fleet.new {
        vm.set_fault(2, script.clone());
    }
    fleet.wait_for_state("rolled_back", LONG_DURATION).await;
    let stopped_at = tokio::time::Instant::now();
    // the stop spreads, and requests arrive that were on their way
    sleep(Duration::from_millis(500)).await;
    let since = tokio::time::Instant::now();
    sleep(Duration::from_secs(1)).await;
    fleet.end_calls();
    let new = Fleet::received(&fleet.new, requested_at);
    let all = new + Fleet::received(&fleet.old, requested_at);
    println!(
        "rolled back after {:?}, {new} of {all} requests at the bad version",
        stopped_at - requested_at
    );
    assert_eq!(fleet.store.written_states(), ["in_progress", "rolled_back"]);
    assert_eq!(Fleet::received(&fleet.new, since), 0);
    assert!(new as f64 <= 0.1 * all as f64 + 50.0, "{new} of {all}");
}

/// a response after many times the usual time
fn slow_response() -> support::Script {
    delayed(RESPONSE_TIME * 40, 200)
}

/// guards against a failing version that stays in use as each daemon sees too few of its failures
#[test]
fn failing_version_is_stopped_at_all_daemons() {
    run(stop_of(&["a", "b", "c", "d"], response(500)));
}

/// guards against a slow version that goes unnoticed, as the expected time of its VMs follows what they
/// take
#[test]
fn slow_version_is_stopped_at_all_daemons() {
    run(stop_of(&["a", "b", "c", "d"], slow_response()));
}

/// guards against evidence and stops that are lost, or counted twice, between the delegates of zones
#[test]
fn failing_version_is_stopped_over_delegates_of_zones() {
    run(stop_of(&ZONES, response(500)));
}

/// guards against a completion that does not wait for, or waits in vain for, daemons of other zones
#[test]
fn good_version_is_completed_over_delegates_of_zones() {
    run(async {
        let mut fleet = Fleet::with(&ZONES).await;
        fleet.call();
        sleep(Duration::from_secs(1)).await;
        fleet.request(LONG_DURATION).await;
        fleet.wait_for_state("completed", LONG_DURATION).await;
        let completed_at = tokio::time::Instant::now();
        sleep(Duration::from_secs(1)).await;
        fleet.end_calls();
        assert_eq!(Fleet::received(&fleet.old, completed_at), 0);
        let counts = &fleet.counts;
        assert_eq!((counts.lost.get(), counts.refused.get()), (0, 0));
    });
}
