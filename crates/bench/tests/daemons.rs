//! Requests survive planned stops and announced reclaims of daemons.

mod support;

use bench::client::Request;
use support::{MODEL, WAIT_TIMEOUT, assert_complete, two_centres, wait_served};

/// tokens of a response
const TOKENS: u32 = 600;

#[test]
fn a_ready_daemon_serves_a_call() {
    let world = two_centres().start().expect("world must start");
    let client = world.client();
    wait_served(&world, &client);
    let daemon = &world.daemons()[0];
    for round in 0..5 {
        daemon.kill();
        daemon.start().expect("daemon must start");
        daemon
            .wait_ready(WAIT_TIMEOUT)
            .expect("daemon must become ready");
        let request = Request::new(MODEL, &format!("round {round}"), 1);
        assert_complete(&request, &client.complete(0, &request));
    }
}

#[test]
fn the_command_line_tool_lists_every_daemon() {
    let world = two_centres().start().expect("world must start");
    let listed = bench::poll_until(WAIT_TIMEOUT, || {
        let text = world.operator().run(&["status"]).ok()?;
        world
            .daemons()
            .iter()
            .all(|daemon| text.contains(daemon.vm()))
            .then_some(())
    });
    let last = world.operator().run(&["status"]);
    assert!(
        listed.is_some(),
        "status does not list all daemons: {last:?}"
    );
}

#[test]
fn streams_and_buffered_responses_survive_the_reclaim_of_their_daemon() {
    let world = two_centres().start().expect("world must start");
    let client = world.client().timeout(WAIT_TIMEOUT * 2);
    wait_served(&world, &client);
    std::thread::scope(|scope| {
        for number in 0..10 {
            let client = &client;
            scope.spawn(move || {
                let request = Request::new(MODEL, &format!("sermon {number}"), TOKENS);
                if number % 2 == 0 {
                    let completion = client.complete(0, &request);
                    assert_complete(&request, &completion);
                    assert!(completion.expect("completion must succeed").reattached > 0);
                    return;
                }
                let text = client
                    .complete_unstreamed(0, &request)
                    .expect("buffered completion must succeed");
                assert_eq!(text, request.expected(&request.engine_prompt()));
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
        bench::eventually("all requests run on engines", WAIT_TIMEOUT, || {
            running() == 10
        });
        world.reclaim(world.daemons()[0].vm(), 4);
    });
}

#[test]
fn a_planned_stop_interrupts_no_request() {
    let world = two_centres().start().expect("world must start");
    let client = world.client();
    wait_served(&world, &client);
    let request = Request::new(MODEL, "an outline", TOKENS);
    let completion = client.complete_with_progress(2, &request, |count| {
        if count == 50 {
            world.daemons()[2].terminate().expect("stop the daemon");
        }
    });
    assert_complete(&request, &completion);
    let ended = world.daemons()[2].with_process(|child| Ok(child.wait(WAIT_TIMEOUT)));
    assert!(
        ended
            .expect("daemon must have a process")
            .expect("daemon must end in time")
            .success()
    );
}
