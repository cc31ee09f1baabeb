//! The daemon that holds a claim is killed before the call arrives or before its outcome is stored.

use std::thread;
use std::time::Duration;

use bench::eventually;
use standin::{plain, proxy};

use super::harness::{Scenarios, runs_of};
use super::{Fixture, assert_may_have_run};

/// limit for a call to be in progress
const CALL_STARTED_WITHIN: Duration = Duration::from_secs(10);

/// limit for a daemon to become ready
const READY_WITHIN: Duration = Duration::from_secs(20);

/// response time of a slow service, milliseconds
const SLOW_MS: u64 = 2_000;

pub fn run_all(scenarios: &mut Scenarios, fixture: &Fixture) {
    scenarios.run(
        "the holder is killed between the claim and the call",
        || {
            let held_back = proxy::Faults {
                blackhole: true,
                ..proxy::Faults::default()
            };
            let before = connections(fixture);
            fixture.set_link_faults(&held_back);
            kill_holder(fixture, "/killed-before", || connections(fixture) > before);
            fixture.set_link_faults(&proxy::Faults::default());
            assert_still_unknown(fixture, "/killed-before", 0);
        },
    );
    scenarios.run(
        "the holder is killed between the call and the storing of its outcome",
        || {
            fixture.set_service_faults(plain::Faults {
                slow_ms: SLOW_MS,
                ..plain::Faults::default()
            });
            let path = "/killed-after";
            kill_holder(fixture, path, || runs_of(&fixture.world, path) == 1);
            assert_still_unknown(fixture, path, 1);
            fixture.set_service_faults(plain::Faults::default());
        },
    );
}

fn connections(fixture: &Fixture) -> u64 {
    let plains = fixture.world.plain_services().iter();
    plains
        .filter_map(|plain| plain.machine.link())
        .map(|link| link.counts().connections)
        .sum()
}

/// kills the daemon that runs a call as soon as `is_started` holds
fn kill_holder(fixture: &Fixture, path: &str, is_started: impl FnMut() -> bool) {
    let holder = &fixture.world.daemons()[0];
    thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let call = super::Call::new("POST", &format!("/services/{}{path}", super::DESK));
            let call = call.bearer(&fixture.key).header("Idempotency-Key", path);
            call.body("a lantern for two").send(fixture.address(0))
        });
        eventually("the call is in progress", CALL_STARTED_WITHIN, is_started);
        holder.kill();
        let reply = caller.join().expect("caller panicked");
        assert!(reply.is_err(), "{reply:?}");
    });
    // Neither the other daemons nor the restarted one may take over the claim.
    assert_may_have_run(&fixture.book(1, path, path));
    assert_may_have_run(&fixture.book(2, path, path));
    holder.start().expect("daemon must start");
    holder
        .wait_ready(READY_WITHIN)
        .expect("daemon must become ready");
    assert_may_have_run(&fixture.book(0, path, path));
}

/// after the faults are cleared, the verdict of every daemon is still `may_have_run`
fn assert_still_unknown(fixture: &Fixture, path: &str, at_least: usize) {
    fixture.wait_served(path.trim_start_matches('/'));
    for daemon in 0..fixture.daemons() {
        assert_may_have_run(&fixture.book(daemon, path, path));
    }
    let runs = runs_of(&fixture.world, path);
    assert!(
        (at_least..=1).contains(&runs),
        "ran {runs} times, expected {at_least} to 1"
    );
}
