//! Changes, and when they are in force.

use std::io;
use std::process::Output;
use std::time::Instant;

use bench::poll_until;
use bench::world::World;
use serde::Deserialize;

use super::proof::Scenes;
use super::watch::status;
use super::{IN_FORCE_WITHIN, PRESETS};

/// changes back and forth
const CHANGES: usize = 8;

/// what the operators' tool says of a change
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Applied {
    /// revision from now on
    pub revision: u64,
    /// preset in force
    pub preset: String,
    /// id of the change
    pub change: String,
}

pub fn scenes(scenes: &mut Scenes, world: &World) {
    scenes.run("presets switched back and forth", || {
        let mut last = status(&world.daemons()[0]).expect("a status").revision;
        for number in 0..CHANGES {
            let applied = switch(world, PRESETS[number % 2]).expect("a change");
            assert_eq!(applied.revision, last + 1);
            last = applied.revision;
            assert_in_force(world, &applied);
        }
    });
}

/// puts a preset in force by the operators' tool
pub fn switch(world: &World, preset: &str) -> io::Result<Applied> {
    let arguments = ["preset", "use", "--output", "json", preset];
    let printed = world.operator().run(&arguments)?;
    serde_json::from_str(&printed).map_err(io::Error::other)
}

/// what a successful call of the operators' tool printed
pub fn applied(output: &Output) -> Applied {
    serde_json::from_slice(&output.stdout).expect("a change")
}

/// waits until a change is in force on all daemons
///
/// # Panics
/// When it is not within the time allowed.
pub fn assert_in_force(world: &World, applied: &Applied) {
    let start = Instant::now();
    for daemon in world.daemons() {
        let left = IN_FORCE_WITHIN.saturating_sub(start.elapsed());
        let mut seen = None;
        let in_force = poll_until(left, || {
            let status = status(daemon).ok()?;
            let held = status.revision >= applied.revision;
            seen = Some((status.revision, status.preset));
            held.then_some(())
        });
        let vm = daemon.vm();
        assert!(in_force.is_some(), "{vm} has {seen:?}, not {applied:?}");
        let exact = seen.filter(|(revision, _)| *revision == applied.revision);
        if let Some((_, preset)) = exact {
            assert_eq!(preset, applied.preset, "{vm}");
        }
    }
}
