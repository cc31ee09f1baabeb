//! An accepted request survives any announced reclaim.

mod support;

use std::thread;
use std::time::Duration;

use bench::client::{Answer, Ask, Client, Fault};
use bench::poll_until;
use bench::world::World;
use standin::engine;
use support::{MODEL, PATIENCE, assert_whole, settle, two_centres};

/// tokens of an answer: at 10 ms a step, six seconds
const TOKENS: u32 = 600;
/// streams that an engine runs at the same time
const SLOTS: u32 = 2;
/// requests at one daemon: more than all engines run at the same time
const REQUESTS: usize = 9;
/// notice of a reclaim, seconds
const NOTICE: u32 = 3;

/// a world whose engines are full early, so that requests queue
fn small_engines() -> World {
    let engine = engine::Options::builder()
        .step_us(10_000)
        .slots(SLOTS)
        .build();
    let world = two_centres()
        .engine(engine)
        .first_token(Duration::from_secs(60))
        .start()
        .expect("a world");
    settle(&world, &world.client());
    world
}

fn ask(number: usize) -> Ask {
    Ask::new(MODEL, &format!("sermon number {number}"), TOKENS)
}

/// the answers of streams at one daemon; `event` happens once some have begun
fn streams_through(
    world: &World,
    daemon: usize,
    event: impl FnOnce(),
) -> Vec<(Ask, Result<Answer, Fault>)> {
    let client = world.client().patience(Duration::from_secs(60));
    thread::scope(|scope| {
        let calls: Vec<_> = (0..REQUESTS)
            .map(|number| {
                let client = &client;
                scope.spawn(move || {
                    let ask = ask(number);
                    let answer = client.complete(daemon, &ask);
                    (ask, answer)
                })
            })
            .collect();
        wait_running(world);
        event();
        calls
            .into_iter()
            .map(|call| call.join().expect("a caller"))
            .collect()
    })
}

fn wait_running(world: &World) {
    let running = poll_until(PATIENCE, || {
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
    assert!(running.is_some(), "no streams run");
}

#[test]
fn streams_and_queued_requests_survive_their_daemons_reclaim() {
    let world = small_engines();
    let answers = streams_through(&world, 1, || world.reclaim(world.daemons()[1].vm(), NOTICE));
    for (ask, answer) in &answers {
        assert_whole(ask, answer);
    }
    let reattached = answers
        .iter()
        .filter(|(_, a)| a.as_ref().is_ok_and(|a| a.reattached > 0));
    assert!(reattached.count() > 0, "some were handed over");
}

#[test]
fn an_unstreamed_answer_survives_its_daemons_reclaim() {
    let world = small_engines();
    let client = world.client().patience(Duration::from_secs(60));
    let ask = ask(0);
    let text = thread::scope(|scope| {
        let call = scope.spawn(|| client.complete_whole(1, &ask));
        support::running_engine(&world);
        world.reclaim(world.daemons()[1].vm(), NOTICE);
        call.join().expect("a caller")
    });
    assert_eq!(text.expect("an answer"), ask.expected(&ask.engine_prompt()));
}

#[test]
fn requests_survive_a_whole_zone_with_its_daemons_and_engines() {
    let world = small_engines();
    let answers = streams_through(&world, 0, || {
        for daemon in &world.daemons()[..2] {
            world.reclaim(daemon.vm(), NOTICE);
        }
        for engine in &world.engines()[..2] {
            world.reclaim(&engine.machine.vm, NOTICE);
        }
    });
    for (ask, answer) in &answers {
        assert_whole(ask, answer);
    }
}

#[test]
fn requests_survive_the_reclaim_of_the_successor_as_well() {
    let world = small_engines();
    let answers = streams_through(&world, 1, || {
        world.reclaim(world.daemons()[1].vm(), NOTICE);
        let gone = poll_until(PATIENCE, || (!world.daemons()[1].is_ready()).then_some(()));
        assert!(gone.is_some(), "the first daemon leaves");
        world.reclaim(world.daemons()[0].vm(), NOTICE);
    });
    for (ask, answer) in &answers {
        assert_whole(ask, answer);
    }
}

#[test]
fn requests_survive_a_daemon_that_dies_in_its_reclaim() {
    let world = small_engines();
    let answers = streams_through(&world, 1, || {
        let daemon = &world.daemons()[1];
        world.reclaim(daemon.vm(), 30);
        let copied = poll_until(PATIENCE, || {
            daemon.log_tail().contains("event=copied").then_some(())
        });
        assert!(copied.is_some(), "copies are sent ahead");
        daemon.kill();
    });
    for (ask, answer) in &answers {
        assert_whole(ask, answer);
    }
}

#[test]
fn a_request_keeps_to_its_own_workspace_when_it_moves() {
    let world = small_engines();
    let client = world.client();
    let ask = ask(1);
    let mut id = String::new();
    let mut stream = client.open(1, &ask).expect("a stream");
    id.push_str(&stream.request_id);
    stream.next_step().expect("a token");
    let stranger = Client::new("no-such-key", &addresses(&world));
    for daemon in 0..world.daemons().len() {
        let refused = stranger.get(daemon, &format!("/v1/requests/{id}"));
        assert_eq!(refused.expect_err("refused").status(), 401);
    }
}

fn addresses(world: &World) -> Vec<std::net::SocketAddr> {
    world
        .daemons()
        .iter()
        .map(|daemon| daemon.callers)
        .collect()
}
