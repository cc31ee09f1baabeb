//! The store loses responses, serves stale reads, has an outage or is cut off.

use std::time::Duration;

use bench::poll_until;
use bench::world::{Daemon, World};
use schema::objects::Faults;
use standin::proxy;

use super::change::{Applied, assert_in_force, switch};
use super::harness::{Scenarios, no_change, no_faults, set_store_faults};
use super::watch::status;
use super::{CUT_OFF, PRESETS};

/// limit for a daemon to become ready during a store outage
const STARTED_WITHIN: Duration = Duration::from_secs(10);

/// number of reads for which the store serves an older state
const STALE_READS: u32 = 12;

/// exit code of the command line tool if another change was applied first
const CONFLICT: i32 = 4;

pub fn run_all(scenarios: &mut Scenarios, world: &World) {
    scenarios.run("the response to a change is lost", || lost_response(world));
    scenarios.run("the store serves stale reads", || stale_reads(world));
    scenarios.run("a daemon restarts during a store outage", || {
        restart_without_store(world)
    });
    scenarios.run(
        "a data centre is cut off from the store but not from its peers",
        || cut_off(world),
    );
    scenarios.run(
        "all daemons but one restart while the store serves stale reads",
        || restart_on_stale_store(world),
    );
}

/// the tool finds out by itself that its change was applied: one new revision, in force
fn lost_response(world: &World) {
    set_store_faults(world, &no_faults());
    for (number, preset) in PRESETS.iter().enumerate() {
        let before = status(&world.daemons()[0])
            .expect("read the status")
            .revision;
        let lose = Faults {
            lose_answers: Some(1 + number as u32),
            ..no_change()
        };
        set_store_faults(world, &lose);
        let applied = switch(world, preset).expect("tool must confirm the change");
        set_store_faults(world, &no_faults());
        assert_eq!(applied.revision, before + 1);
        assert_in_force(world, &applied);
    }
}

/// a change based on a stale read is never written
///
/// With `--expect` and the revision in force the change succeeds, since the tool detects that
/// its read is stale. Without it the tool may report a conflict with that revision.
fn stale_reads(world: &World) {
    set_store_faults(world, &no_faults());
    let mut applied = change(world);
    for preset in PRESETS {
        set_store_faults(world, &stale());
        let expect = applied.revision.to_string();
        let arguments = ["preset", "use", "--output", "json", "--expect"];
        let arguments = [&arguments[..], &[&expect, preset]].concat();
        let output = world
            .operator()
            .output(&arguments)
            .expect("run the command line tool");
        assert!(output.status.success(), "{output:?}");
        let next = super::change::applied(&output);
        assert_eq!(next.revision, applied.revision + 1);
        assert_in_force(world, &next);
        applied = next;
    }
    set_store_faults(world, &stale());
    let arguments = ["preset", "use", "--output", "json", PRESETS[0]];
    let output = world
        .operator()
        .output(&arguments)
        .expect("run the command line tool");
    set_store_faults(world, &no_faults());
    if output.status.success() {
        let next = super::change::applied(&output);
        assert_eq!(next.revision, applied.revision + 1);
        applied = next;
    } else {
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(CONFLICT), "{text}");
        assert!(text.contains(&applied.change), "{text}");
    }
    let next = change(world);
    assert_eq!(next.revision, applied.revision + 1);
}

fn restart_without_store(world: &World) {
    set_store_faults(world, &no_faults());
    let applied = change(world);
    let out = Faults {
        outage: Some(true),
        ..no_change()
    };
    set_store_faults(world, &out);
    for daemon in [0, 3] {
        let daemon = &world.daemons()[daemon];
        restart(daemon, &applied);
    }
    set_store_faults(world, &no_faults());
    let next = change(world);
    assert_eq!(next.revision, applied.revision + 1);
}

/// a data centre cut off from the store gets changes from the other one, also after the cut
/// ends and its first reads are stale
fn cut_off(world: &World) {
    set_store_faults(world, &no_faults());
    let link = world.network().platform_link(CUT_OFF);
    link.set_faults(proxy::Faults {
        cut: true,
        ..proxy::Faults::default()
    });
    for _ in 0..2 {
        change(world);
    }
    let applied = change(world);
    restart(&world.daemons()[2], &applied);
    // The first reads after the cut give an older state.
    set_store_faults(world, &stale());
    link.set_faults(proxy::Faults::default());
    assert_in_force(world, &applied);
    set_store_faults(world, &no_faults());
    change(world);
}

fn restart_on_stale_store(world: &World) {
    set_store_faults(world, &no_faults());
    let applied = change(world);
    for daemon in world.daemons().iter().skip(1) {
        set_store_faults(world, &stale());
        restart(daemon, &applied);
    }
    set_store_faults(world, &no_faults());
    assert_in_force(world, &applied);
    change(world);
}

fn stale() -> Faults {
    Faults {
        stale_reads: Some(STALE_READS),
        ..no_change()
    }
}

/// switches to the preset that is not in force and waits until it is in force on all daemons
fn change(world: &World) -> Applied {
    let now = status(&world.daemons()[0]).expect("read the status").preset;
    let other = PRESETS.iter().find(|preset| **preset != now);
    let applied = switch(world, other.expect("one preset must not be in force"))
        .expect("preset must be switched");
    assert_in_force(world, &applied);
    applied
}

/// restarts a daemon; it must have the applied revision once it is ready
fn restart(daemon: &Daemon, applied: &Applied) {
    daemon.kill();
    daemon.start().expect("daemon must start");
    daemon
        .wait_ready(STARTED_WITHIN)
        .expect("daemon must become ready");
    let current = poll_until(super::IN_FORCE_WITHIN, || {
        let status = status(daemon).ok()?;
        (status.revision >= applied.revision).then_some(status)
    });
    let vm = daemon.vm();
    let status =
        current.unwrap_or_else(|| panic!("{vm} does not have {applied:?} after its restart"));
    assert_eq!(status.preset, applied.preset);
}
