//! Preset changes reach every daemon, also while a data centre is cut off from the platform,
//! the store is out, or its watches are silent.

mod support;

use std::time::Duration;

use bench::client::{Client, Request};
use bench::eventually;
use bench::world::{DataCentre, World};
use schema::config::Preset;
use schema::objects;
use standin::proxy::Faults;
use support::{
    MODEL, WAIT_TIMEOUT, assert_complete, no_change, set_store_faults, two_centres, wait_served,
};

/// limit for a change to be in force on all daemons
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(13);

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
    let world = two_centres()
        .preset(closed)
        .start()
        .expect("world must start");
    let client = world.client();
    wait_served(&world, &client);
    (world, client)
}

/// true if the preset in force on this daemon admits a call
fn admits(client: &Client, daemon: usize) -> bool {
    match client.complete(daemon, &Request::new(MODEL, "a look-up", 1)) {
        Ok(_) => true,
        Err(error) => {
            assert_eq!(
                error.code(),
                "preset",
                "call failed for a reason other than the preset: {error}"
            );
            false
        }
    }
}

fn use_preset(world: &World, preset: &str) {
    world
        .operator()
        .run(&["preset", "use", preset])
        .expect("switch the preset");
}

/// waits until all daemons admit calls, or none does
fn wait_in_force(world: &World, client: &Client, open: bool) {
    eventually(
        "the preset is in force on all daemons",
        IN_FORCE_TIMEOUT,
        || (0..world.daemons().len()).all(|daemon| admits(client, daemon) == open),
    );
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
fn a_data_centre_cut_off_from_the_platform_gets_changes_from_its_peers() {
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
fn daemons_serve_and_start_during_a_store_outage() {
    let (world, client) = start();
    set_store_faults(
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
    daemon.start().expect("daemon must start");
    daemon
        .wait_ready(WAIT_TIMEOUT)
        .expect("daemon must get its configuration from a peer and become ready");
    eventually("the restarted daemon admits calls", WAIT_TIMEOUT, || {
        admits(&client, 0)
    });
    set_store_faults(
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
fn a_silent_watch_does_not_delay_a_change() {
    let (world, client) = start();
    set_store_faults(
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
fn one_deployment_spans_two_regions() {
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
        .expect("world must start");
    let client = world.client();
    wait_served(&world, &client);
    let request = Request::new(MODEL, "a sermon", 50);
    assert_complete(&request, &client.complete(1, &request));
    let runs = world.engines()[1]
        .record()
        .expect("read the engine's record");
    assert!(
        runs.iter().any(|run| run.generated == 50),
        "the completion did not run in the daemon's data centre: {runs:?}"
    );
    use_preset(&world, CLOSED);
    wait_in_force(&world, &client, false);
    assert!(world.network().platform_link("fukuoka-a").counts().back > 0);
}
