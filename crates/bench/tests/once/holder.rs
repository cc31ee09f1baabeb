//! The daemon that holds a claim dies, before the call arrives and before its outcome is kept.

use std::thread;
use std::time::Duration;

use bench::eventually;
use standin::{plain, proxy};

use super::proof::{Scenes, runs_of};
use super::{Stage, assert_may_have_run};

/// longest wait for a call to get somewhere
const PATIENCE: Duration = Duration::from_secs(10);

/// longest wait for a daemon to start
const READY_WITHIN: Duration = Duration::from_secs(20);

/// time that a slow service takes, milliseconds
const SLOW_MS: u64 = 2_000;

pub fn scenes(scenes: &mut Scenes, stage: &Stage) {
    scenes.run("the holder is killed between claim and call", || {
        let held_back = proxy::Faults {
            blackhole: true,
            ..proxy::Faults::default()
        };
        let before = connections(stage);
        stage.line_faults(&held_back);
        killed(stage, "/killed-before", || connections(stage) > before);
        stage.line_faults(&proxy::Faults::default());
        settled(stage, "/killed-before", 0);
    });
    scenes.run("the holder is killed between call and outcome", || {
        stage.service_faults(plain::Faults {
            slow_ms: SLOW_MS,
            ..plain::Faults::default()
        });
        let path = "/killed-after";
        killed(stage, path, || runs_of(&stage.world, path) == 1);
        settled(stage, path, 1);
        stage.service_faults(plain::Faults::default());
    });
}

fn connections(stage: &Stage) -> u64 {
    let plains = stage.world.plain_services().iter();
    plains
        .filter_map(|plain| plain.machine.link())
        .map(|link| link.counts().connections)
        .sum()
}

/// kills the daemon that runs a call as soon as `is_there` says so
fn killed(stage: &Stage, path: &str, is_there: impl FnMut() -> bool) {
    let holder = &stage.world.daemons()[0];
    thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let call = super::Call::new("POST", &format!("/services/{}{path}", super::DESK));
            let call = call.bearer(&stage.key).header("Idempotency-Key", path);
            call.body("a lantern for two").send(stage.address(0))
        });
        eventually("the call is under way", PATIENCE, is_there);
        holder.kill();
        let reply = caller.join().expect("a caller");
        assert!(reply.is_err(), "{reply:?}");
    });
    // The daemons left, and the new one in its place, do not take the claim over.
    assert_may_have_run(&stage.book(1, path, path));
    assert_may_have_run(&stage.book(2, path, path));
    holder.start().expect("a daemon");
    holder.wait_ready(READY_WITHIN).expect("a daemon");
    assert_may_have_run(&stage.book(0, path, path));
}

/// once all is well again, everybody is still told that it may have run
fn settled(stage: &Stage, path: &str, at_least: usize) {
    stage.wait_served(path.trim_start_matches('/'));
    for daemon in 0..stage.daemons() {
        assert_may_have_run(&stage.book(daemon, path, path));
    }
    let runs = runs_of(&stage.world, path);
    assert!((at_least..=1).contains(&runs), "ran {runs} times");
}
