//! Streams survive failures and reclaims of their upstreams.

mod support;

use std::time::Duration;

use bench::client::Request;
use bench::world::World;
use standin::engine::Faults;
use support::{assert_complete, running_engine, two_centres, wait_served};

/// tokens of a response
const TOKENS: u32 = 300;

/// number of tokens after which the event happens
const EVENT_AT: usize = 100;

/// streams one completion and calls `event` on the way
fn stream_during(world: &World, event: impl Fn(&World)) -> bench::client::Completion {
    let client = world.client();
    wait_served(world, &client);
    let request = Request::new(support::MODEL, "a sermon", TOKENS);
    let completion = client.complete_with_progress(0, &request, |count| {
        if count == EVENT_AT {
            event(world);
        }
    });
    assert_complete(&request, &completion);
    completion.expect("completion must succeed")
}

#[test]
fn a_stream_survives_the_kill_of_its_upstream() {
    let world = two_centres().start().expect("world must start");
    stream_during(&world, |world| running_engine(world).machine.child.kill());
}

#[test]
fn a_stream_survives_a_frozen_upstream() {
    let world = two_centres().start().expect("world must start");
    stream_during(&world, |world| {
        running_engine(world)
            .machine
            .child
            .pause()
            .expect("pause the engine");
    });
}

#[test]
fn a_stream_survives_the_reclaim_of_all_engines_in_its_data_centre() {
    let world = two_centres().start().expect("world must start");
    stream_during(&world, |world| {
        for engine in &world.engines()[..2] {
            world.reclaim(&engine.machine.vm, 2);
        }
    });
    let remaining = &world.engines()[2];
    let runs = remaining.record().expect("read the engine's record");
    assert!(
        runs.iter().any(|run| run.from > 0),
        "the other data centre did not resume the stream: {runs:?}"
    );
}

#[test]
fn a_frozen_connection_causes_no_recomputation() {
    let world = two_centres().start().expect("world must start");
    let completion = stream_during(&world, |world| {
        let faults = Faults {
            freeze: true,
            ..Faults::default()
        };
        running_engine(world)
            .set_faults(&faults)
            .expect("set the fault");
    });
    let runs = world
        .engines()
        .iter()
        .flat_map(|engine| engine.record().expect("read the engine's record"));
    let runs: Vec<_> = runs
        .filter(|run| run.generated > 1 || run.from > 0)
        .collect();
    assert_eq!(
        runs.len(),
        1,
        "the stream did not continue in its first run: {runs:?}"
    );
    let longest = completion
        .token_gaps()
        .into_iter()
        .max()
        .unwrap_or_default();
    assert!(longest < Duration::from_secs(5), "no token for {longest:?}");
}

#[test]
fn requests_refused_by_an_upstream_run_on_another() {
    let world = two_centres().start().expect("world must start");
    let client = world.client();
    wait_served(&world, &client);
    let faults = Faults {
        refuse: true,
        ..Faults::default()
    };
    world.engines()[0]
        .set_faults(&faults)
        .expect("set the fault");
    for number in 0..10 {
        let request = Request::new(support::MODEL, &format!("look-up {number}"), 5);
        assert_complete(&request, &client.complete(0, &request));
    }
}

#[test]
fn each_caller_gets_its_own_response() {
    let world = two_centres().start().expect("world must start");
    let client = world.client();
    wait_served(&world, &client);
    std::thread::scope(|scope| {
        for number in 0..30 {
            let client = &client;
            scope.spawn(move || {
                let request = Request::new(support::MODEL, &format!("caller {number}"), 200);
                let request = if number % 2 == 0 {
                    request
                } else {
                    request.chat()
                };
                assert_complete(&request, &client.complete(number, &request));
            });
        }
        world.reclaim(&world.engines()[1].machine.vm, 1);
    });
}
