//! Roll-outs while daemons or the store fail.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::DURATION;
use super::fleet::{Counts, Daemon, Fleet, response, start_vms, wait_until};
use super::support::{FakeStore, config, run};

/// time in which a leader is replaced: its lease and the interval of reads
const TAKE_OVER: Duration = Duration::from_secs(4);

/// time in which a stop reaches every daemon that is in touch with the others
const SPREAD_TIME: Duration = Duration::from_secs(2);

/// guards against a roll-out that only the daemon can end that began it
#[test]
fn successor_of_the_leader_completes_the_roll_out() {
    run(async {
        let mut fleet = Fleet::start(4).await;
        fleet.call();
        let duration = DURATION + TAKE_OVER;
        let requested_at = fleet.request(duration).await;
        fleet
            .wait_for_state("in_progress", Duration::from_secs(3))
            .await;
        let leader = fleet.daemons.iter().position(Daemon::is_leader);
        fleet.daemons[leader.expect("a leader")].end_duties();
        fleet.wait_for_state("completed", duration).await;
        fleet.end_calls();
        assert!(requested_at.elapsed() < duration);
        assert_eq!(fleet.store.written_states(), ["in_progress", "completed"]);
    });
}

/// guards against a leader that gives up, or writes a state again, when the response to its write is lost
#[test]
fn state_whose_response_is_lost_is_written_once() {
    run(async {
        let mut fleet = Fleet::start(2).await;
        fleet.call();
        fleet.store.set_status_responses_lost(true);
        let requested_at = fleet.request(DURATION).await;
        for vm in &fleet.new {
            vm.set_fault(2, response(500));
        }
        fleet.wait_for_state("rolled_back", DURATION).await;
        sleep(Duration::from_secs(1)).await;
        fleet.end_calls();
        assert!(requested_at.elapsed() < DURATION + Duration::from_secs(1));
        assert_eq!(fleet.store.written_states(), ["in_progress", "rolled_back"]);
    });
}

/// guards against a daemon that has missed the stop and sends more than the canary share meanwhile, or
/// uses the version after its return
#[test]
fn daemon_that_returns_after_the_stop_does_not_use_the_version() {
    run(async {
        let mut fleet = Fleet::start(3).await;
        // has the VMs and the request from the store, and has not met the others
        let connection = fleet.store.connect();
        let mut apart = Daemon::alone(9, "a", &connection, false);
        fleet.wait_until_ready(&fleet.old).await;
        fleet.call();
        sleep(Duration::from_millis(500)).await;
        let requested_at = fleet.request(DURATION).await;
        for vm in &fleet.new {
            vm.set_fault(2, response(500));
        }
        let knows = || apart.harness.shared.vms.borrow().contains_key("v2-7");
        wait_until("the VMs", Duration::from_secs(5), knows).await;
        connection.set_cut(true);
        fleet.wait_for_state("rolled_back", DURATION).await;
        fleet.end_calls();
        sleep(Duration::from_millis(500)).await;
        let since = Instant::now();
        fleet.call_at(apart.harness.address);
        sleep(Duration::from_secs(2)).await;
        let alone = Fleet::received(&fleet.new, since);
        let all = alone + Fleet::received(&fleet.old, since);
        assert!(alone * 5 <= all, "{alone} of {all} while it is apart");
        connection.set_cut(false);
        apart.join();
        sleep(SPREAD_TIME).await;
        let since = Instant::now();
        sleep(Duration::from_secs(1)).await;
        fleet.end_calls();
        assert!(requested_at.elapsed() < Duration::from_secs(30));
        assert_eq!(Fleet::received(&fleet.new, since), 0);
        assert!(Fleet::received(&fleet.old, since) > 0);
    });
}

/// guards against daemons that take the state of a restored store for the latest one: the version is used
/// again, or the state stays as it was in the copy
#[test]
fn restored_store_does_not_undo_a_stop() {
    run(async {
        let mut fleet = Fleet::start(3).await;
        fleet.call();
        fleet.request(DURATION).await;
        for vm in &fleet.new {
            vm.set_fault(2, response(500));
        }
        fleet
            .wait_for_state("in_progress", Duration::from_secs(3))
            .await;
        let copy = fleet.store.copy();
        fleet.wait_for_state("rolled_back", DURATION).await;
        sleep(Duration::from_millis(300)).await;
        let since = Instant::now();
        fleet.store.restore(&copy);
        fleet
            .wait_for_state("rolled_back", Duration::from_secs(8))
            .await;
        fleet.end_calls();
        assert_eq!(Fleet::received(&fleet.new, since), 0);
    });
}

/// guards against a request that is forgotten as the store was restored from a copy without it
#[test]
fn request_that_a_restored_store_lacks_is_carried_on() {
    run(async {
        let mut fleet = Fleet::start(3).await;
        fleet.call();
        fleet.new = start_vms(&fleet.store, "v2", 2000).await;
        let copy = fleet.store.copy();
        fleet.store.request_rollout("v2", DURATION);
        for vm in &fleet.new {
            vm.set_fault(2, response(500));
        }
        fleet
            .wait_for_state("in_progress", Duration::from_secs(3))
            .await;
        fleet.store.restore(&copy);
        let is_stopped = |daemon: &Daemon| {
            let shared = &daemon.harness.shared;
            let placement = shared.placement.borrow();
            placement.is_stopped("desk", "v2-0")
        };
        wait_until("a stop at all daemons", DURATION, || {
            fleet.daemons.iter().all(is_stopped)
        })
        .await;
        fleet.end_calls();
    });
}

/// guards against a deadline that passes while the store is unavailable and leaves the roll-out in
/// progress for good
#[test]
fn deadline_that_passes_without_the_store_rolls_back() {
    run(async {
        let mut fleet = Fleet::start(2).await;
        fleet.call();
        let requested_at = fleet.request(Duration::from_secs(5)).await;
        fleet
            .wait_for_state("in_progress", Duration::from_secs(3))
            .await;
        fleet.store.set_unavailable(true);
        sleep(Duration::from_secs(7).saturating_sub(requested_at.elapsed())).await;
        fleet.store.set_unavailable(false);
        fleet
            .wait_for_state("rolled_back", Duration::from_secs(8))
            .await;
        fleet.end_calls();
        assert_eq!(fleet.store.written_states(), ["in_progress", "rolled_back"]);
    });
}

/// guards against daemons that begin a roll-out anew, or forget a stop, when all of them were killed
#[test]
fn kill_of_all_daemons_keeps_the_stop() {
    let store = FakeStore::new();
    run({
        let store = store.clone();
        async move {
            store.configure(|| config(1));
            let old = start_vms(&store, "v1", 1000).await;
            let mut daemons: Vec<Daemon> = (0..3)
                .map(|number| Daemon::start(number, "a", &store, true))
                .collect();
            let mut fleet = Fleet {
                store,
                daemons: std::mem::take(&mut daemons),
                old,
                new: Vec::new(),
                counts: Rc::new(Counts::default()),
                callers: std::cell::RefCell::default(),
            };
            fleet.wait_until_ready(&fleet.old).await;
            fleet.call();
            fleet.request(DURATION).await;
            for vm in &fleet.new {
                vm.set_fault(2, response(500));
            }
            fleet.wait_for_state("rolled_back", DURATION).await;
            // a checkpoint is written
            sleep(Duration::from_millis(1500)).await;
        }
    });
    // the runtime of all daemons has ended with their connections
    run(async {
        let old = start_vms(&store, "v1", 1000).await;
        let new = start_vms(&store, "v2", 2000).await;
        let daemons: Vec<Daemon> = (0..3)
            .map(|number| Daemon::start(number, "a", &store, false))
            .collect();
        let fleet = Fleet {
            store: store.clone(),
            daemons,
            old,
            new,
            counts: Rc::new(Counts::default()),
            callers: std::cell::RefCell::default(),
        };
        let since = Instant::now();
        fleet.wait_until_ready(&fleet.old).await;
        fleet.call();
        sleep(Duration::from_secs(3)).await;
        fleet.end_calls();
        assert_eq!(Fleet::received(&fleet.new, since), 0);
        assert!(Fleet::received(&fleet.old, since) > 0);
        assert_eq!(store.rollout_state().as_deref(), Some("rolled_back"));
    });
}

/// guards against daemons that take the time of their own start for that of the request, and miss its
/// deadline
#[test]
fn kill_of_all_daemons_keeps_the_deadline() {
    let duration = DURATION + TAKE_OVER + Duration::from_secs(3);
    let store = FakeStore::new();
    let requested_at = std::time::Instant::now();
    run({
        let store = store.clone();
        async move {
            store.configure(|| config(1));
            let old = start_vms(&store, "v1", 1000).await;
            let fleet = Daemon::start(0, "a", &store, true);
            let is_leader = || fleet.is_leader() && fleet.harness.shared.is_ready();
            wait_until("a leader", Duration::from_secs(10), is_leader).await;
            store.request_rollout("v2", duration);
            let state = || store.rollout_state().is_some();
            wait_until("a state", Duration::from_secs(3), state).await;
            // a checkpoint is written
            sleep(Duration::from_millis(1500)).await;
            drop(old);
        }
    });
    run(async {
        let _old = start_vms(&store, "v1", 1000).await;
        let _new = start_vms(&store, "v2", 2000).await;
        let _daemons: Vec<Daemon> = (0..2)
            .map(|number| Daemon::start(number, "a", &store, false))
            .collect();
        let is_completed = || store.rollout_state().as_deref() == Some("completed");
        wait_until("the state completed", duration, is_completed).await;
    });
    let took = requested_at.elapsed();
    // the daemons start some 3 s after the request
    assert!(took < duration + Duration::from_secs(3), "{took:?}");
}
