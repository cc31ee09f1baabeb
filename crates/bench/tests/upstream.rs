//! Streams outlive what happens to their upstreams.

mod support;

use std::time::Duration;

use bench::client::Ask;
use bench::world::World;
use standin::engine::Faults;
use support::{assert_whole, running_engine, settle, two_centres};

/// tokens of an answer
const TOKENS: u32 = 300;

/// tokens after which something happens
const EVENT_AT: usize = 100;

/// streams one answer and lets `event` happen on the way
fn stream_through(world: &World, event: impl Fn(&World)) -> bench::client::Answer {
    let client = world.client();
    settle(world, &client);
    let ask = Ask::new(support::MODEL, "a sermon", TOKENS);
    let answer = client.complete_watching(0, &ask, |count| {
        if count == EVENT_AT {
            event(world);
        }
    });
    assert_whole(&ask, &answer);
    answer.expect("a whole answer")
}

#[test]
fn a_stream_survives_the_death_of_its_upstream() {
    let world = two_centres().start().expect("a world");
    stream_through(&world, |world| running_engine(world).machine.child.kill());
}

#[test]
fn a_stream_survives_an_upstream_that_goes_silent() {
    let world = two_centres().start().expect("a world");
    stream_through(&world, |world| {
        running_engine(world)
            .machine
            .child
            .pause()
            .expect("a pause");
    });
}

#[test]
fn a_stream_survives_a_wave_that_takes_its_data_centre() {
    let world = two_centres().start().expect("a world");
    stream_through(&world, |world| {
        for engine in &world.engines()[..2] {
            world.reclaim(&engine.machine.vm, 2);
        }
    });
    let left = &world.engines()[2];
    let runs = left.record().expect("a record");
    assert!(
        runs.iter().any(|run| run.from > 0),
        "the other data centre took it over: {runs:?}"
    );
}

#[test]
fn a_dead_connection_costs_no_tokens() {
    let world = two_centres().start().expect("a world");
    let answer = stream_through(&world, |world| {
        let faults = Faults {
            freeze: true,
            ..Faults::default()
        };
        running_engine(world)
            .set_faults(&faults)
            .expect("the fault");
    });
    let runs = world
        .engines()
        .iter()
        .flat_map(|engine| engine.record().expect("a record"));
    let runs: Vec<_> = runs
        .filter(|run| run.generated > 1 || run.from > 0)
        .collect();
    assert_eq!(runs.len(), 1, "the stream went on where it was: {runs:?}");
    let longest = answer.gaps().into_iter().max().unwrap_or_default();
    assert!(longest < Duration::from_secs(5), "silent for {longest:?}");
}

#[test]
fn an_upstream_that_refuses_gets_its_work_done_elsewhere() {
    let world = two_centres().start().expect("a world");
    let client = world.client();
    settle(&world, &client);
    let faults = Faults {
        refuse: true,
        ..Faults::default()
    };
    world.engines()[0].set_faults(&faults).expect("the fault");
    for number in 0..10 {
        let ask = Ask::new(support::MODEL, &format!("look-up {number}"), 5);
        assert_whole(&ask, &client.complete(0, &ask));
    }
}

#[test]
fn each_caller_gets_its_own_answer() {
    let world = two_centres().start().expect("a world");
    let client = world.client();
    settle(&world, &client);
    std::thread::scope(|scope| {
        for number in 0..30 {
            let client = &client;
            scope.spawn(move || {
                let ask = Ask::new(support::MODEL, &format!("caller {number}"), 200);
                let ask = if number % 2 == 0 { ask } else { ask.chat() };
                assert_whole(&ask, &client.complete(number, &ask));
            });
        }
        world.reclaim(&world.engines()[1].machine.vm, 1);
    });
}
