//! An accepted request survives any announced reclaim.

mod support;

use std::thread;
use std::time::Duration;

use bench::client::{Client, Completion, Error, Request};
use bench::poll_until;
use bench::world::World;
use standin::engine;
use support::{MODEL, WAIT_TIMEOUT, assert_complete, two_centres, wait_served};

/// tokens of a response: 6 s at 10 ms per step
const TOKENS: u32 = 600;
/// concurrent streams of an engine
const SLOTS: u32 = 2;
/// requests at one daemon: more than all engines together have slots
const REQUESTS: usize = 9;
/// notice time of a reclaim
const NOTICE_SECONDS: u32 = 3;

/// a world whose engines have few slots, so that requests queue
fn world_with_few_slots() -> World {
    let engine = engine::Options::builder()
        .step_us(10_000)
        .slots(SLOTS)
        .build();
    let world = two_centres()
        .engine(engine)
        .first_token(Duration::from_secs(60))
        .start()
        .expect("world must start");
    wait_served(&world, &world.client());
    world
}

fn numbered_request(number: usize) -> Request {
    Request::new(MODEL, &format!("sermon number {number}"), TOKENS)
}

/// runs streams at one daemon and calls `event` once some run; gives the responses
fn stream_during(
    world: &World,
    daemon: usize,
    event: impl FnOnce(),
) -> Vec<(Request, Result<Completion, Error>)> {
    let client = world.client().timeout(Duration::from_secs(60));
    thread::scope(|scope| {
        let calls: Vec<_> = (0..REQUESTS)
            .map(|number| {
                let client = &client;
                scope.spawn(move || {
                    let request = numbered_request(number);
                    let completion = client.complete(daemon, &request);
                    (request, completion)
                })
            })
            .collect();
        wait_running(world);
        event();
        calls
            .into_iter()
            .map(|call| call.join().expect("caller panicked"))
            .collect()
    })
}

fn wait_running(world: &World) {
    let running = poll_until(WAIT_TIMEOUT, || {
        let records = world
            .engines()
            .iter()
            .map(|engine| engine.record().unwrap_or_default());
        let begun = records
            .flatten()
            .filter(|run| !run.ended && run.generated > 20)
            .count();
        (begun >= SLOTS as usize).then_some(())
    });
    assert!(
        running.is_some(),
        "fewer than {SLOTS} streams run within {WAIT_TIMEOUT:?}"
    );
}

#[test]
fn streams_and_queued_requests_survive_their_daemons_reclaim() {
    let world = world_with_few_slots();
    let completions = stream_during(&world, 1, || {
        world.reclaim(world.daemons()[1].vm(), NOTICE_SECONDS)
    });
    for (request, completion) in &completions {
        assert_complete(request, completion);
    }
    let reattached = completions
        .iter()
        .filter(|(_, a)| a.as_ref().is_ok_and(|a| a.reattached > 0));
    assert!(reattached.count() > 0, "no request was handed over");
}

#[test]
fn an_unstreamed_response_survives_its_daemons_reclaim() {
    let world = world_with_few_slots();
    let client = world.client().timeout(Duration::from_secs(60));
    let request = numbered_request(0);
    let text = thread::scope(|scope| {
        let call = scope.spawn(|| client.complete_unstreamed(1, &request));
        support::running_engine(&world);
        world.reclaim(world.daemons()[1].vm(), NOTICE_SECONDS);
        call.join().expect("caller panicked")
    });
    assert_eq!(
        text.expect("completion must succeed"),
        request.expected(&request.engine_prompt())
    );
}

#[test]
fn requests_survive_the_reclaim_of_a_data_centre_with_its_daemons_and_engines() {
    let world = world_with_few_slots();
    let completions = stream_during(&world, 0, || {
        for daemon in &world.daemons()[..2] {
            world.reclaim(daemon.vm(), NOTICE_SECONDS);
        }
        for engine in &world.engines()[..2] {
            world.reclaim(&engine.machine.vm, NOTICE_SECONDS);
        }
    });
    for (request, completion) in &completions {
        assert_complete(request, completion);
    }
}

#[test]
fn requests_survive_the_reclaim_of_the_successor_as_well() {
    let world = world_with_few_slots();
    let completions = stream_during(&world, 1, || {
        world.reclaim(world.daemons()[1].vm(), NOTICE_SECONDS);
        let draining = poll_until(WAIT_TIMEOUT, || {
            (!world.daemons()[1].is_ready()).then_some(())
        });
        assert!(
            draining.is_some(),
            "the first daemon did not start to drain in time"
        );
        world.reclaim(world.daemons()[0].vm(), NOTICE_SECONDS);
    });
    for (request, completion) in &completions {
        assert_complete(request, completion);
    }
}

#[test]
fn requests_survive_a_daemon_that_is_killed_while_it_is_reclaimed() {
    let world = world_with_few_slots();
    let completions = stream_during(&world, 1, || {
        let daemon = &world.daemons()[1];
        world.reclaim(daemon.vm(), 30);
        let copied = poll_until(WAIT_TIMEOUT, || {
            daemon.log_tail().contains("event=copied").then_some(())
        });
        assert!(
            copied.is_some(),
            "the daemon sent no copies of its requests in time"
        );
        daemon.kill();
    });
    for (request, completion) in &completions {
        assert_complete(request, completion);
    }
}

#[test]
fn an_unknown_key_cannot_read_a_request() {
    let world = world_with_few_slots();
    let client = world.client();
    let request = numbered_request(1);
    let mut id = String::new();
    let mut stream = client.open(1, &request).expect("stream must open");
    id.push_str(&stream.request_id);
    stream.next_step().expect("stream must give a token");
    let stranger = Client::new("no-such-key", &addresses(&world));
    for daemon in 0..world.daemons().len() {
        let refused = stranger.get(daemon, &format!("/v1/requests/{id}"));
        assert_eq!(
            refused
                .expect_err("an unknown key must be rejected")
                .status(),
            401
        );
    }
}

fn addresses(world: &World) -> Vec<std::net::SocketAddr> {
    world
        .daemons()
        .iter()
        .map(|daemon| daemon.callers)
        .collect()
}
