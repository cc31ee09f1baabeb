//! Requests outlive planned stops and announced reclaims of daemons.

mod support;

use bench::client::Ask;
use support::{MODEL, PATIENCE, assert_whole, settle, two_centres};

/// tokens of an answer
const TOKENS: u32 = 600;

#[test]
fn a_daemon_that_is_ready_takes_a_call() {
    let world = two_centres().start().expect("a world");
    let client = world.client();
    settle(&world, &client);
    let daemon = &world.daemons()[0];
    for round in 0..5 {
        daemon.kill();
        daemon.start().expect("a start");
        daemon.wait_ready(PATIENCE).expect("a ready daemon");
        let ask = Ask::new(MODEL, &format!("round {round}"), 1);
        assert_whole(&ask, &client.complete(0, &ask));
    }
}

#[test]
fn the_operators_tool_shows_every_daemon() {
    let world = two_centres().start().expect("a world");
    let seen = bench::poll_until(PATIENCE, || {
        let text = world.operator().run(&["status"]).ok()?;
        world
            .daemons()
            .iter()
            .all(|daemon| text.contains(daemon.vm()))
            .then_some(())
    });
    let last = world.operator().run(&["status"]);
    assert!(seen.is_some(), "{last:?}");
}

#[test]
fn streams_and_whole_answers_survive_the_reclaim_of_their_daemon() {
    let world = two_centres().start().expect("a world");
    let client = world.client().patience(PATIENCE * 2);
    settle(&world, &client);
    std::thread::scope(|scope| {
        for number in 0..10 {
            let client = &client;
            scope.spawn(move || {
                let ask = Ask::new(MODEL, &format!("sermon {number}"), TOKENS);
                if number % 2 == 0 {
                    let answer = client.complete(0, &ask);
                    assert_whole(&ask, &answer);
                    assert!(answer.expect("an answer").reattached > 0);
                    return;
                }
                let text = client.complete_whole(0, &ask).expect("a whole answer");
                assert_eq!(text, ask.expected(&ask.engine_prompt()));
            });
        }
        let running = || {
            let records = world
                .engines()
                .iter()
                .map(|engine| engine.record().unwrap_or_default());
            records
                .flatten()
                .filter(|run| !run.ended && run.generated > 0)
                .count()
        };
        bench::eventually("all streams run", PATIENCE, || running() == 10);
        world.reclaim(world.daemons()[0].vm(), 4);
    });
}

#[test]
fn a_planned_stop_cuts_no_request_off() {
    let world = two_centres().start().expect("a world");
    let client = world.client();
    settle(&world, &client);
    let ask = Ask::new(MODEL, "an outline", TOKENS);
    let answer = client.complete_watching(2, &ask, |count| {
        if count == 50 {
            world.daemons()[2].terminate().expect("a stop");
        }
    });
    assert_whole(&ask, &answer);
    let ended = world.daemons()[2].with_process(|child| Ok(child.wait(PATIENCE)));
    assert!(ended.expect("a process").expect("its end").success());
}
