//! Requests that have no effect, and VMs that appear or go.

use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use super::DURATION;
use super::fleet::{Daemon, Fleet, start_vms, wait_until};
use super::support::{Step, run};

/// time in which a request without effect gets its state
const REPLY_TIME: Duration = Duration::from_secs(3);

/// guards against requests that can't be carried out and stay without a state, or move requests anyway
#[test]
fn requests_that_can_not_be_carried_out_have_no_effect() {
    run(async {
        let fleet = Fleet::start(2).await;
        fleet.call();
        let since = Instant::now();
        let cases = [
            (json!({ "to": "v2", "duration_ms": 0 }), "rolled_back"),
            (json!({ "to": "v1", "duration_ms": 5000 }), "completed"),
            (
                json!({ "service": "none", "to": "v2", "duration_ms": 5000 }),
                "rolled_back",
            ),
        ];
        for (spec, state) in cases {
            fleet.store.delete("rollouts", "desk");
            fleet.store.put("rollouts", "desk", spec);
            fleet.wait_for_state(state, REPLY_TIME).await;
        }
        fleet.store.delete("rollouts", "desk");
        fleet.store.put("rollouts", "desk", json!({ "from": "v1" }));
        sleep(Duration::from_millis(500)).await;
        assert_eq!(fleet.store.rollout_state(), None);
        fleet.end_calls();
        assert!(Fleet::received(&fleet.old, since) > 0);
        let counts = &fleet.counts;
        assert_eq!((counts.lost.get(), counts.refused.get()), (0, 0));
    });
}

/// guards against a request for a version without VMs that stays in progress beyond its deadline
#[test]
fn request_for_a_version_without_vms_is_rolled_back_before_the_deadline() {
    run(async {
        let fleet = Fleet::start(2).await;
        let requested_at = Instant::now();
        fleet.store.request_rollout("v9", DURATION);
        fleet.wait_for_state("rolled_back", DURATION).await;
        assert!(requested_at.elapsed() < DURATION);
    });
}

/// guards against VMs of a new version that get requests before the request for the roll-out is known:
/// its watch is silent while the VMs appear
#[test]
fn version_that_appears_before_its_request_is_held_back() {
    run(async {
        let mut fleet = Fleet::start(2).await;
        fleet.call();
        let since = Instant::now();
        fleet.store.delay_rollouts(true);
        fleet.store.request_rollout("v2", DURATION);
        fleet.new = start_vms(&fleet.store, "v2", 2000).await;
        sleep(Duration::from_secs(1)).await;
        assert_eq!(Fleet::received(&fleet.new, since), 0);
        fleet.store.delay_rollouts(false);
        sleep(Duration::from_secs(2)).await;
        fleet.end_calls();
        let new = Fleet::received(&fleet.new, since);
        let all = new + Fleet::received(&fleet.old, since);
        assert!(new > 0 && new * 5 <= all, "{new} of {all}");
    });
}

/// guards against versions that are held back for good although nobody has requested a roll-out
#[test]
fn version_without_a_request_is_used() {
    run(async {
        let mut fleet = Fleet::start(2).await;
        fleet.call();
        fleet.new = start_vms(&fleet.store, "v2", 2000).await;
        fleet.wait_until_ready(&fleet.new).await;
        // a follower is told with the next response that the list of requests is newer
        sleep(Duration::from_millis(1500)).await;
        let since = Instant::now();
        sleep(Duration::from_secs(1)).await;
        fleet.end_calls();
        let new = Fleet::received(&fleet.new, since);
        let all = new + Fleet::received(&fleet.old, since);
        assert!(new * 4 >= all, "{new} of {all}");
    });
}

/// guards against a version that goes on to get requests when its request is removed or replaced
#[test]
fn version_of_a_withdrawn_request_gets_no_requests() {
    run(async {
        let mut fleet = Fleet::start(2).await;
        fleet.call();
        fleet.request(DURATION).await;
        fleet.wait_for_state("in_progress", REPLY_TIME).await;
        sleep(Duration::from_secs(1)).await;
        assert!(Fleet::received(&fleet.new, Instant::now() - REPLY_TIME) > 0);
        fleet.store.request_rollout("v3", DURATION);
        sleep(Duration::from_millis(800)).await;
        let since = Instant::now();
        sleep(Duration::from_secs(1)).await;
        assert_eq!(Fleet::received(&fleet.new, since), 0, "replaced");
        fleet.store.delete("rollouts", "desk");
        sleep(Duration::from_millis(800)).await;
        let since = Instant::now();
        sleep(Duration::from_secs(1)).await;
        fleet.end_calls();
        assert_eq!(Fleet::received(&fleet.new, since), 0, "removed");
        assert!(Fleet::received(&fleet.old, since) > 0);
    });
}

/// guards against a daemon that is left with VMs that have stopped: one that is cut off does not learn that
/// the roll-out was completed
#[test]
fn daemon_that_is_cut_off_uses_the_other_version_once_its_own_is_gone() {
    run(async {
        let mut fleet = Fleet::start(1).await;
        let connection = fleet.store.connect();
        let apart = Daemon::alone(9, "a", &connection, false);
        fleet.request(DURATION).await;
        let knows = || apart.harness.shared.vms.borrow().contains_key("v2-7");
        wait_until("the VMs", Duration::from_secs(5), knows).await;
        sleep(Duration::from_millis(500)).await;
        connection.set_cut(true);
        for vm in &fleet.old {
            vm.crash();
        }
        let since = Instant::now();
        fleet.call_at(apart.harness.address);
        sleep(Duration::from_millis(600)).await;
        fleet.end_calls();
        sleep(Duration::from_millis(200)).await;
        let new = Fleet::received(&fleet.new, since);
        assert!(new >= 15, "{new} requests at the version that is left");
        assert!(
            fleet.counts.refused.get() <= 2,
            "{}",
            fleet.counts.refused.get()
        );
    });
}

/// guards against a completion that cuts off requests that must not be repeated
#[test]
fn completion_waits_for_requests_that_must_not_be_repeated() {
    run(async {
        let mut fleet = Fleet::start(2).await;
        for vm in &fleet.old {
            let mut script = super::fleet::response(200);
            script.0.insert(0, Step::Wait(Duration::from_millis(700)));
            vm.set_script(script);
        }
        fleet.call();
        sleep(Duration::from_millis(500)).await;
        fleet.request(DURATION).await;
        fleet.wait_for_state("completed", DURATION).await;
        for vm in &fleet.old {
            vm.crash();
            fleet.store.delete("vms", &vm.vm.id);
        }
        sleep(Duration::from_millis(500)).await;
        fleet.end_calls();
        assert_eq!(fleet.counts.lost.get(), 0);
    });
}
