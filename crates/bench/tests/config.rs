//! An accepted configuration is in force everywhere within seconds and never reverts.
//!
//! One thread per daemon asks for its status all the while, through the operators' tool.
//! What it sees may only go up, and a revision means the same preset everywhere.

mod proof;

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

use proof::Scenes;
use watch::Watch;

/// data centre with the store near it
const NEAR: &str = "piedmont-a";

/// data centre that is cut off from the store at times
const FAR: &str = "piedmont-b";

/// time within which an accepted configuration is in force everywhere
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// presets that are switched between
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
            DataCentre::new("piedmont", NEAR)
                .daemons(2)
                .plain_services("booking-desk", 1),
        )
        .data_centre(DataCentre::new("piedmont", FAR).daemons(2))
        .start()
        .expect("a world")
}

#[test]
fn in_force_everywhere_and_never_reverts() {
    let world = start();
    let mut scenes = Scenes::default();
    let watch = Watch::default();
    watch.during(&world, || {
        change::scenes(&mut scenes, &world);
        race::scenes(&mut scenes, &world);
        fault::scenes(&mut scenes, &world);
    });
    scenes.run("no daemon ever went back", || watch.judge());
    scenes.finish();
}
