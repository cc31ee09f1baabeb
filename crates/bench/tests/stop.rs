//! A planned stop interrupts no request.

mod support;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bench::client::{Client, Error, Request};
use bench::poll_until;
use bench::world::World;
use schema::failure::Verdict;
use schema::settings::Timing;
use standin::plain;
use support::{DESK, MODEL, WAIT_TIMEOUT, two_centres, wait_served};

/// tokens of a response
const TOKENS: u32 = 80;
/// concurrent callers
const CALLERS: usize = 12;
/// limit for a planned stop
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// time after a signal when the load balancer no longer sends callers
const BALANCED: Duration = Duration::from_secs(3);

/// observations of all callers
#[derive(Default)]
struct Observations {
    stop: AtomicBool,
    completed: AtomicUsize,
    interrupted: std::sync::Mutex<Vec<String>>,
}

impl Observations {
    fn record_interruption(&self, description: String) {
        self.interrupted
            .lock()
            .expect("lock is poisoned")
            .push(description);
    }
}

/// calls the ready daemons in turn until told to stop, as behind a load balancer
fn call(world: &World, client: &Client, caller: usize, observed: &Observations) {
    let mut round = 0;
    while !observed.stop.load(Ordering::Relaxed) {
        round += 1;
        let daemon = (caller + round) % world.daemons().len();
        if !world.daemons()[daemon].is_ready() {
            continue;
        }
        let name = format!("caller {caller} round {round}");
        let result = match caller % 3 {
            0 => book(client, daemon, &name),
            1 => buffered(client, daemon, &name),
            _ => stream(client, daemon, &name),
        };
        match result {
            Ok(()) => drop(observed.completed.fetch_add(1, Ordering::Relaxed)),
            Err(error) if was_not_accepted(&error) => (),
            Err(error) => observed.record_interruption(format!("{name}: {error}")),
        }
    }
}

/// true if the daemon could not be reached, or its verdict is that the request did not run
fn was_not_accepted(error: &Error) -> bool {
    let refused = matches!(error, Error::Connection(cause) if cause.contains("Connection refused"));
    refused || error.verdict() == Some(Verdict::NotRun)
}

fn book(client: &Client, daemon: usize, name: &str) -> Result<(), Error> {
    client
        .call_service(daemon, &format!("{DESK}/tours"), "", name)
        .map(drop)
}

fn buffered(client: &Client, daemon: usize, name: &str) -> Result<(), Error> {
    let request = Request::new(MODEL, name, TOKENS);
    let text = client.complete_unstreamed(daemon, &request)?;
    assert_eq!(text, request.expected(&request.engine_prompt()), "{name}");
    Ok(())
}

fn stream(client: &Client, daemon: usize, name: &str) -> Result<(), Error> {
    let request = Request::new(MODEL, name, TOKENS);
    let completion = client.complete(daemon, &request)?;
    assert_eq!(
        completion.text,
        request.expected(&request.engine_prompt()),
        "{name}"
    );
    Ok(())
}

/// runs callers during `event`; fails if an accepted request is interrupted
fn assert_no_interruption(world: &World, event: impl FnOnce()) {
    let client = world.client().timeout(WAIT_TIMEOUT);
    wait_served(world, &client);
    let observed = Observations::default();
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (observed, client) = (&observed, &client);
            scope.spawn(move || call(world, client, caller, observed));
        }
        wait_completed(&observed, CALLERS);
        event();
        let before = observed.completed.load(Ordering::Relaxed);
        wait_completed(&observed, before + CALLERS);
        observed.stop.store(true, Ordering::Relaxed);
    });
    let interrupted = observed.interrupted.lock().expect("lock is poisoned");
    assert!(
        interrupted.is_empty(),
        "interrupted requests: {interrupted:?}"
    );
}

fn wait_completed(observed: &Observations, count: usize) {
    let enough = || (observed.completed.load(Ordering::Relaxed) >= count).then_some(());
    assert!(
        poll_until(WAIT_TIMEOUT, enough).is_some(),
        "fewer than {count} requests completed within {WAIT_TIMEOUT:?}"
    );
}

fn world() -> World {
    let desk = plain::Options::builder().delay_ms(300).build();
    two_centres().plain(desk).start().expect("world must start")
}

fn wait_ended(world: &World, daemon: usize) {
    let ended = world.daemons()[daemon].with_process(|child| Ok(child.wait(STOP_TIMEOUT)));
    let status = ended.ok().flatten().expect("daemon did not end in time");
    assert!(status.success(), "{status}");
}

#[test]
fn a_signal_under_load_interrupts_no_request() {
    let world = world();
    assert_no_interruption(&world, || {
        world.daemons()[1].terminate().expect("signal the daemon");
        wait_ended(&world, 1);
    });
}

#[test]
fn an_operators_drain_under_load_interrupts_no_request() {
    let world = world();
    assert_no_interruption(&world, || {
        let vm = world.daemons()[0].vm().to_owned();
        world
            .operator()
            .run(&["drain", &vm])
            .expect("drain must be accepted");
        wait_ended(&world, 0);
    });
}

#[test]
fn a_rolling_restart_with_changes_interrupts_no_request() {
    let world = world();
    assert_no_interruption(&world, || {
        for (number, daemon) in world.daemons().iter().enumerate() {
            daemon.terminate().expect("signal the daemon");
            let mut declaration = world.declaration().clone();
            declaration.services[0].between_tokens_ms += number as u32 + 1;
            world
                .operator()
                .apply(&declaration)
                .expect("declaration must be accepted");
            wait_ended(&world, number);
            daemon.start().expect("daemon must start");
            daemon
                .wait_ready(WAIT_TIMEOUT)
                .expect("daemon must become ready");
        }
    });
}

/// starts a world whose plain service is slower than a stop
fn slow_world() -> World {
    let desk = plain::Options::builder().delay_ms(20_000).build();
    let timing = Timing {
        drain_ms: 5000,
        ..Timing::default()
    };
    two_centres()
        .plain(desk)
        .timing(timing)
        .start()
        .expect("world must start")
}

/// calls to a plain service that outlasted a planned stop were cut without an answer
#[test]
fn a_call_that_outlasts_the_stop_is_answered_and_a_late_one_is_refused() {
    let world = slow_world();
    let client = world.client().timeout(WAIT_TIMEOUT);
    wait_served(&world, &client);
    thread::scope(|scope| {
        let early = scope.spawn(|| book(&client, 1, "early"));
        // the request for the metrics is in flight as well
        let received = || {
            let metrics = world.daemons()[1].metrics().ok()?;
            metrics
                .lines()
                .any(|line| line == "agateloom_in_flight 2")
                .then_some(())
        };
        assert!(poll_until(WAIT_TIMEOUT, received).is_some());
        world.daemons()[1].terminate().expect("signal the daemon");
        thread::sleep(BALANCED);
        let late = book(&client, 1, "late").expect_err("the daemon is stopping");
        assert_eq!(late.verdict(), Some(Verdict::NotRun), "{late}");
        let early = early.join().expect("the caller ends");
        let early = early.expect_err("the service is too slow");
        assert_eq!(early.verdict(), Some(Verdict::MayHaveRun), "{early}");
    });
    wait_ended(&world, 1);
}
