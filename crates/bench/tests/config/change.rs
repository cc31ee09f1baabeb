//! Preset changes, and the wait until they are in force.

use std::io;
use std::process::Output;
use std::time::Instant;

use bench::poll_until;
use bench::world::World;
use serde::Deserialize;

use super::harness::Scenarios;
use super::watch::status;
use super::{IN_FORCE_WITHIN, PRESETS};

/// number of preset changes
const CHANGES: usize = 8;

/// output of the command line tool for a change
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Applied {
    /// revision that the change created
    pub revision: u64,
    /// preset in force
    pub preset: String,
    /// id of the change
    pub change: String,
}

pub fn run_all(scenarios: &mut Scenarios, world: &World) {
    scenarios.run("presets are switched back and forth", || {
        let mut last = status(&world.daemons()[0])
            .expect("read the status")
            .revision;
        for number in 0..CHANGES {
            let applied = switch(world, PRESETS[number % 2]).expect("preset must be switched");
            assert_eq!(applied.revision, last + 1);
            last = applied.revision;
            assert_in_force(world, &applied);
        }
    });
}

/// switches the preset with the command line tool
pub fn switch(world: &World, preset: &str) -> io::Result<Applied> {
    let arguments = ["preset", "use", "--output", "json", preset];
    let printed = world.operator().run(&arguments)?;
    serde_json::from_str(&printed).map_err(io::Error::other)
}

/// parses the output of a successful call of the command line tool
pub fn applied(output: &Output) -> Applied {
    serde_json::from_slice(&output.stdout).expect("output must describe the change")
}

/// waits until a change is in force on all daemons
///
/// # Panics
/// If it is not in force within `IN_FORCE_WITHIN`.
pub fn assert_in_force(world: &World, applied: &Applied) {
    let start = Instant::now();
    for daemon in world.daemons() {
        let time_left = IN_FORCE_WITHIN.saturating_sub(start.elapsed());
        let mut seen = None;
        let in_force = poll_until(time_left, || {
            let status = status(daemon).ok()?;
            let is_applied = status.revision >= applied.revision;
            seen = Some((status.revision, status.preset));
            is_applied.then_some(())
        });
        let vm = daemon.vm();
        assert!(
            in_force.is_some(),
            "{vm} has {seen:?} after {IN_FORCE_WITHIN:?}, expected {applied:?}"
        );
        let exact = seen.filter(|(revision, _)| *revision == applied.revision);
        if let Some((_, preset)) = exact {
            assert_eq!(preset, applied.preset, "{vm}");
        }
    }
}
