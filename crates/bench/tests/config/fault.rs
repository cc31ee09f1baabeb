//! The store loses answers, lies about the past, and is out or cut off.

use std::time::Duration;

use bench::poll_until;
use bench::world::{Daemon, World};
use schema::objects::Faults;
use standin::proxy;

use super::change::{Applied, assert_in_force, switch};
use super::proof::{Scenes, faults, no_faults, store_faults};
use super::watch::status;
use super::{FAR, PRESETS};

/// time within which a daemon that starts without the store has its configuration
const STARTED_WITHIN: Duration = Duration::from_secs(10);

/// reads of the store that lie about the past
const STALE_READS: u32 = 12;

/// exit code of the tool when another change came first
const CONFLICT: i32 = 4;

pub fn scenes(scenes: &mut Scenes, world: &World) {
    scenes.run("the answer to a change is lost", || lost_answer(world));
    scenes.run("the store shows an older state", || stale_reads(world));
    scenes.run("a daemon restarts while the store is out", || {
        restart_without_store(world)
    });
    scenes.run(
        "a data centre cut off from the store, not from daemons",
        || cut_off(world),
    );
    scenes.run(
        "all daemons but one are restarted while the store lies",
        || restart_on_stale_store(world),
    );
}

/// the tool settles the change by itself: one revision, in force
fn lost_answer(world: &World) {
    store_faults(world, &no_faults());
    for (number, preset) in PRESETS.iter().enumerate() {
        let before = status(&world.daemons()[0]).expect("a status").revision;
        let lose = Faults {
            lose_answers: Some(1 + number as u32),
            ..faults()
        };
        store_faults(world, &lose);
        let applied = switch(world, preset).expect("a settled change");
        store_faults(world, &no_faults());
        assert_eq!(applied.revision, before + 1);
        assert_in_force(world, &applied);
    }
}

/// a stale state is never written back
///
/// Who names the revision in force is served, since the tool sees that its read is stale. Who
/// does not may be told of a conflict with that revision.
fn stale_reads(world: &World) {
    store_faults(world, &no_faults());
    let mut applied = change(world);
    for preset in PRESETS {
        store_faults(world, &stale());
        let expect = applied.revision.to_string();
        let arguments = ["preset", "use", "--output", "json", "--expect"];
        let arguments = [&arguments[..], &[&expect, preset]].concat();
        let output = world.operator().output(&arguments).expect("the tool");
        assert!(output.status.success(), "{output:?}");
        let next = super::change::applied(&output);
        assert_eq!(next.revision, applied.revision + 1);
        assert_in_force(world, &next);
        applied = next;
    }
    store_faults(world, &stale());
    let arguments = ["preset", "use", "--output", "json", PRESETS[0]];
    let output = world.operator().output(&arguments).expect("the tool");
    store_faults(world, &no_faults());
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
    store_faults(world, &no_faults());
    let applied = change(world);
    let out = Faults {
        outage: Some(true),
        ..faults()
    };
    store_faults(world, &out);
    for daemon in [0, 3] {
        let daemon = &world.daemons()[daemon];
        restart(daemon, &applied);
    }
    store_faults(world, &no_faults());
    let next = change(world);
    assert_eq!(next.revision, applied.revision + 1);
}

/// cut off from the store, a data centre hears from the other one; so it does once healed
fn cut_off(world: &World) {
    store_faults(world, &no_faults());
    let link = world.network().platform_link(FAR);
    link.set_faults(proxy::Faults {
        cut: true,
        ..proxy::Faults::default()
    });
    for _ in 0..2 {
        change(world);
    }
    let applied = change(world);
    restart(&world.daemons()[2], &applied);
    // The first reads after the cut show an older state.
    store_faults(world, &stale());
    link.set_faults(proxy::Faults::default());
    assert_in_force(world, &applied);
    store_faults(world, &no_faults());
    change(world);
}

fn restart_on_stale_store(world: &World) {
    store_faults(world, &no_faults());
    let applied = change(world);
    for daemon in world.daemons().iter().skip(1) {
        store_faults(world, &stale());
        restart(daemon, &applied);
    }
    store_faults(world, &no_faults());
    assert_in_force(world, &applied);
    change(world);
}

fn stale() -> Faults {
    Faults {
        stale_reads: Some(STALE_READS),
        ..faults()
    }
}

/// switches to the preset that is not in force and waits until it is, everywhere
fn change(world: &World) -> Applied {
    let now = status(&world.daemons()[0]).expect("a status").preset;
    let other = PRESETS.iter().find(|preset| **preset != now);
    let applied = switch(world, other.expect("a preset")).expect("a change");
    assert_in_force(world, &applied);
    applied
}

/// restarts a daemon, which has the revision in force before it takes requests
fn restart(daemon: &Daemon, applied: &Applied) {
    daemon.kill();
    daemon.start().expect("a daemon");
    daemon.wait_ready(STARTED_WITHIN).expect("a daemon");
    let has_it = poll_until(super::IN_FORCE_WITHIN, || {
        let status = status(daemon).ok()?;
        (status.revision >= applied.revision).then_some(status)
    });
    let vm = daemon.vm();
    let status = has_it.unwrap_or_else(|| panic!("{vm} has not {applied:?}"));
    assert_eq!(status.preset, applied.preset);
}
