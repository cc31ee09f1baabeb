//! Changes of the preset reach every daemon, also while the platform is cut off.

mod support;

use std::time::Duration;

use bench::client::{Ask, Client};
use bench::eventually;
use bench::world::{DataCentre, World};
use schema::config::Preset;
use schema::objects;
use standin::proxy::Faults;
use support::{MODEL, PATIENCE, assert_whole, no_change, set_store, settle, two_centres};

/// longest time until a change is in force everywhere
const IN_FORCE: Duration = Duration::from_secs(13);

/// a preset that admits none of the test's calls
const CLOSED: &str = "maintenance";

/// the preset in force at the start
const OPEN: &str = "ordinary";

fn start() -> (World, Client) {
    let closed = Preset {
        name: CLOSED.to_owned(),
        admit_priority: 9,
        capacity: Vec::new(),
    };
    let world = two_centres().preset(closed).start().expect("a world");
    let client = world.client();
    settle(&world, &client);
    (world, client)
}

/// whether the preset in force admits a call
fn admits(client: &Client, daemon: usize) -> bool {
    match client.complete(daemon, &Ask::new(MODEL, "a look-up", 1)) {
        Ok(_) => true,
        Err(fault) => {
            assert_eq!(
                fault.code(),
                "preset",
                "refused for another reason: {fault}"
            );
            false
        }
    }
}

fn use_preset(world: &World, preset: &str) {
    world
        .operator()
        .run(&["preset", "use", preset])
        .expect("a change");
}

/// waits until all daemons admit calls, or none does
fn wait_in_force(world: &World, client: &Client, open: bool) {
    eventually("the preset in force everywhere", IN_FORCE, || {
        (0..world.daemons().len()).all(|daemon| admits(client, daemon) == open)
    });
}

#[test]
fn a_preset_is_in_force_everywhere_within_seconds() {
    let (world, client) = start();
    use_preset(&world, CLOSED);
    wait_in_force(&world, &client, false);
    use_preset(&world, OPEN);
    wait_in_force(&world, &client, true);
}

#[test]
fn a_data_centre_cut_off_from_the_platform_hears_of_a_change_from_the_others() {
    let (world, client) = start();
    let link = world.network().platform_link("kagoshima-a");
    link.set_faults(Faults {
        cut: true,
        ..Faults::default()
    });
    assert!(admits(&client, 2));
    use_preset(&world, CLOSED);
    wait_in_force(&world, &client, false);
}

#[test]
fn daemons_serve_and_start_while_the_store_is_out() {
    let (world, client) = start();
    set_store(
        &world,
        &objects::Faults {
            outage: Some(true),
            ..no_change()
        },
    );
    for daemon in 0..world.daemons().len() {
        assert!(admits(&client, daemon));
    }
    let daemon = &world.daemons()[0];
    daemon.kill();
    daemon.start().expect("a start");
    daemon
        .wait_ready(PATIENCE)
        .expect("a daemon that has its configuration from a peer");
    eventually("an answer of the new daemon", PATIENCE, || {
        admits(&client, 0)
    });
    set_store(
        &world,
        &objects::Faults {
            outage: Some(false),
            ..no_change()
        },
    );
    use_preset(&world, CLOSED);
    wait_in_force(&world, &client, false);
}

#[test]
fn a_silent_watch_holds_no_change_back() {
    let (world, client) = start();
    set_store(
        &world,
        &objects::Faults {
            silent_watches: Some(true),
            ..no_change()
        },
    );
    use_preset(&world, CLOSED);
    wait_in_force(&world, &client, false);
}

#[test]
fn regions_far_apart_make_one_deployment() {
    const DELAY: Duration = Duration::from_millis(20);
    const BYTES_PER_SECOND: u64 = 4_000_000;
    let closed = Preset {
        name: CLOSED.to_owned(),
        admit_priority: 9,
        capacity: Vec::new(),
    };
    let world = World::builder()
        .region_link(DELAY, BYTES_PER_SECOND)
        .preset(closed)
        .data_centre(
            DataCentre::new("kyushu-south", "kumamoto-a")
                .daemons(1)
                .engines(MODEL, 1),
        )
        .data_centre(
            DataCentre::new("kyushu-north", "fukuoka-a")
                .daemons(1)
                .engines(MODEL, 1),
        )
        .start()
        .expect("a world");
    let client = world.client();
    settle(&world, &client);
    let ask = Ask::new(MODEL, "a sermon", 50);
    assert_whole(&ask, &client.complete(1, &ask));
    let runs = world.engines()[1].record().expect("a record");
    assert!(
        runs.iter().any(|run| run.generated == 50),
        "it ran in its own data centre: {runs:?}"
    );
    use_preset(&world, CLOSED);
    wait_in_force(&world, &client, false);
    assert!(world.network().platform_link("fukuoka-a").counts().back > 0);
}
