//! Sends calls at their times of arrival, whatever is still open.

use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use schema::failure::Verdict;

use super::call::{Body, Ready};
use super::seen::{End, Seen};
use crate::client::{Ask, Client, Fault};
use crate::world::World;

/// time beyond its deadline that a caller waits for an answer
const PATIENCE: Duration = Duration::from_secs(10);

/// stack of a caller's thread, bytes
const STACK_BYTES: usize = 256 * 1024;

/// sends all calls and waits for their ends; `middle` runs at the time `strike_at`
pub fn drive(
    world: &World,
    calls: &[Ready],
    strike_at: Duration,
    middle: impl FnOnce() + Send,
) -> Vec<Seen> {
    let (sender, receiver) = mpsc::channel();
    let start = Instant::now();
    thread::scope(|scope| {
        scope.spawn(move || {
            wait_until(start + strike_at);
            middle();
        });
        for (number, call) in calls.iter().enumerate() {
            let client = world.client_of(&call.workspace);
            let sender = sender.clone();
            let due = start + call.at;
            wait_until(due);
            let spawned =
                thread::Builder::new()
                    .stack_size(STACK_BYTES)
                    .spawn_scoped(scope, move || {
                        // The receiver outlives the scope.
                        let _ = sender.send(send(&client, number, call, due));
                    });
            if let Err(error) = spawned {
                eprintln!("call {number} was not sent: {error}");
            }
        }
    });
    drop(sender);
    let mut seen: Vec<Seen> = receiver.iter().collect();
    seen.sort_by_key(|seen| seen.number);
    seen
}

fn wait_until(due: Instant) {
    thread::sleep(due.saturating_duration_since(Instant::now()));
}

fn send(client: &Client, number: usize, call: &Ready, due: Instant) -> Seen {
    let seen = Seen::new(number, due.elapsed());
    match &call.body {
        Body::Model { ask, .. } => complete(client, call, ask, due, seen),
        Body::Booking { path, key, text } => book(client, call, (path, key, text), seen),
    }
}

fn complete(client: &Client, call: &Ready, ask: &Ask, due: Instant, mut seen: Seen) -> Seen {
    let patience = ask.deadline.unwrap_or_default() + PATIENCE;
    let client = client.clone().patience(patience);
    match client.complete(call.daemon, ask) {
        Ok(answer) => {
            let is_own = answer.text == ask.expected(&ask.engine_prompt());
            seen.end = if is_own { End::Whole } else { End::Wrong };
            seen.first = answer.token_times.first().map(|at| *at - due);
            seen.gaps = answer.gaps();
            seen.tokens = answer.token_times.len() as u64;
            seen.reattached = answer.reattached;
        }
        Err(fault) => fail(&mut seen, &fault),
    }
    seen
}

fn book(
    client: &Client,
    call: &Ready,
    (path, key, text): (&str, &str, &str),
    mut seen: Seen,
) -> Seen {
    match client.book(call.daemon, path, key, text) {
        Ok(booking) => {
            let echoed = serde_json::from_str::<standin::plain::Response>(&booking.body);
            let mut is_own = echoed.is_ok_and(|answer| answer.echo == text);
            if call.repeated {
                match client.book(call.repeat_daemon, path, key, text) {
                    Ok(again) => is_own &= again.body == booking.body,
                    Err(fault) => {
                        seen.reason = format!("repeated: {fault}");
                        return seen;
                    }
                }
            }
            seen.end = if is_own { End::Whole } else { End::Wrong };
        }
        Err(fault) => fail(&mut seen, &fault),
    }
    seen
}

fn fail(seen: &mut Seen, fault: &Fault) {
    seen.end = match fault.verdict() {
        Some(Verdict::NotRun) => End::NotRun,
        Some(Verdict::MayHaveRun) => End::MayHaveRun,
        Some(Verdict::Ran) | None => End::Broken,
    };
    seen.reason = fault.to_string();
}
