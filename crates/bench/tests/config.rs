//! An accepted configuration is in force on all daemons within seconds and never reverts.
//!
//! One thread per daemon polls its status with the command line tool throughout the test.
//! A daemon's revision must never decrease, and a revision must have the same preset on all
//! daemons.

mod harness;

#[path = "config/change.rs"]
mod change;
#[path = "config/fault.rs"]
mod fault;
#[path = "config/race.rs"]
mod race;
#[path = "config/watch.rs"]
mod watch;

use std::time::Duration;

use bench::world::{DataCentre, World};
use schema::config::Preset;

use harness::Scenarios;
use watch::Watch;

/// data centre that always reaches the store
const CONNECTED: &str = "piedmont-a";

/// data centre that some scenarios cut off from the store
const CUT_OFF: &str = "piedmont-b";

/// limit for an accepted configuration to be in force on all daemons
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// presets that the scenarios switch between
const PRESETS: [&str; 2] = ["peak", "maintenance"];

fn start() -> World {
    let preset = |name: &str| Preset {
        name: name.to_owned(),
        admit_priority: 0,
        capacity: Vec::new(),
    };
    World::builder()
        .preset(preset(PRESETS[0]))
        .preset(preset(PRESETS[1]))
        .data_centre(
            DataCentre::new("piedmont", CONNECTED)
                .daemons(2)
                .plain_services("booking-desk", 1),
        )
        .data_centre(DataCentre::new("piedmont", CUT_OFF).daemons(2))
        .start()
        .expect("world must start")
}

#[test]
fn accepted_configurations_are_in_force_everywhere_and_never_revert() {
    let world = start();
    let mut scenarios = Scenarios::default();
    let watch = Watch::default();
    watch.run(&world, || {
        change::run_all(&mut scenarios, &world);
        race::run_all(&mut scenarios, &world);
        fault::run_all(&mut scenarios, &world);
    });
    scenarios.run("no daemon returned to an older revision", || watch.check());
    scenarios.finish();
}
