//! A planned stop cuts no request off.

mod support;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bench::client::{Ask, Client, Fault};
use bench::poll_until;
use bench::world::World;
use schema::failure::Verdict;
use standin::plain;
use support::{DESK, MODEL, PATIENCE, settle, two_centres};

/// tokens of an answer
const TOKENS: u32 = 80;
/// callers at the same time
const CALLERS: usize = 12;
/// longest planned stop
const STOP: Duration = Duration::from_secs(30);

/// what the callers met
#[derive(Default)]
struct Seen {
    stop: AtomicBool,
    whole: AtomicUsize,
    cut_off: std::sync::Mutex<Vec<String>>,
}

impl Seen {
    fn cut(&self, what: String) {
        self.cut_off.lock().expect("a lock").push(what);
    }
}

/// callers who go to any daemon that is ready, as behind a balancer
fn call(world: &World, client: &Client, caller: usize, seen: &Seen) {
    let mut round = 0;
    while !seen.stop.load(Ordering::Relaxed) {
        round += 1;
        let daemon = (caller + round) % world.daemons().len();
        if !world.daemons()[daemon].is_ready() {
            continue;
        }
        let name = format!("caller {caller} round {round}");
        let result = match caller % 3 {
            0 => book(client, daemon, &name),
            1 => whole(client, daemon, &name),
            _ => stream(client, daemon, &name),
        };
        match result {
            Ok(()) => drop(seen.whole.fetch_add(1, Ordering::Relaxed)),
            Err(fault) if was_not_accepted(&fault) => (),
            Err(fault) => seen.cut(format!("{name}: {fault}")),
        }
    }
}

/// the daemon had gone before the request, or said that it did not run
fn was_not_accepted(fault: &Fault) -> bool {
    let refused = matches!(fault, Fault::Broken(cause) if cause.contains("Connection refused"));
    refused || fault.verdict() == Some(Verdict::NotRun)
}

fn book(client: &Client, daemon: usize, name: &str) -> Result<(), Fault> {
    client
        .book(daemon, &format!("{DESK}/tours"), "", name)
        .map(drop)
}

fn whole(client: &Client, daemon: usize, name: &str) -> Result<(), Fault> {
    let ask = Ask::new(MODEL, name, TOKENS);
    let text = client.complete_whole(daemon, &ask)?;
    assert_eq!(text, ask.expected(&ask.engine_prompt()), "{name}");
    Ok(())
}

fn stream(client: &Client, daemon: usize, name: &str) -> Result<(), Fault> {
    let ask = Ask::new(MODEL, name, TOKENS);
    let answer = client.complete(daemon, &ask)?;
    assert_eq!(answer.text, ask.expected(&ask.engine_prompt()), "{name}");
    Ok(())
}

/// runs callers while `event` happens; nothing may be cut off
fn nothing_is_cut_off(world: &World, event: impl FnOnce()) {
    let client = world.client().patience(PATIENCE);
    settle(world, &client);
    let seen = Seen::default();
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (seen, client) = (&seen, &client);
            scope.spawn(move || call(world, client, caller, seen));
        }
        wait_whole(&seen, CALLERS);
        event();
        let before = seen.whole.load(Ordering::Relaxed);
        wait_whole(&seen, before + CALLERS);
        seen.stop.store(true, Ordering::Relaxed);
    });
    let cut_off = seen.cut_off.lock().expect("a lock");
    assert!(cut_off.is_empty(), "cut off: {cut_off:?}");
}

fn wait_whole(seen: &Seen, count: usize) {
    let enough = || (seen.whole.load(Ordering::Relaxed) >= count).then_some(());
    assert!(poll_until(PATIENCE, enough).is_some(), "callers are served");
}

fn world() -> World {
    let desk = plain::Options::builder().delay_ms(300).build();
    two_centres().plain(desk).start().expect("a world")
}

fn wait_ended(world: &World, daemon: usize) {
    let ended = world.daemons()[daemon].with_process(|child| Ok(child.wait(STOP)));
    let status = ended.ok().flatten().expect("it ends in time");
    assert!(status.success(), "{status}");
}

#[test]
fn a_signal_under_load_cuts_nothing_off() {
    let world = world();
    nothing_is_cut_off(&world, || {
        world.daemons()[1].terminate().expect("a signal");
        wait_ended(&world, 1);
    });
}

#[test]
fn an_operators_drain_under_load_cuts_nothing_off() {
    let world = world();
    nothing_is_cut_off(&world, || {
        let vm = world.daemons()[0].vm().to_owned();
        world.operator().run(&["drain", &vm]).expect("a drain");
        wait_ended(&world, 0);
    });
}

#[test]
fn a_rolling_restart_with_changes_cuts_nothing_off() {
    let world = world();
    nothing_is_cut_off(&world, || {
        for (number, daemon) in world.daemons().iter().enumerate() {
            daemon.terminate().expect("a signal");
            let mut declaration = world.declaration().clone();
            declaration.services[0].between_tokens_ms += number as u32 + 1;
            world.operator().apply(&declaration).expect("a change");
            wait_ended(&world, number);
            daemon.start().expect("a start");
            daemon.wait_ready(PATIENCE).expect("a ready daemon");
        }
    });
}
