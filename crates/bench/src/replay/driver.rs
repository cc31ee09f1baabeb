//! Sends calls at their arrival times, however many earlier calls are still open.

use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use schema::failure::Verdict;

use super::call::{Body, Prepared};
use super::observation::{End, Observation};
use crate::client::{Client, Error, Request};
use crate::world::World;

/// time beyond a call's deadline that the caller waits for the response
const DEADLINE_SLACK: Duration = Duration::from_secs(10);

/// stack size of a caller's thread, bytes
const STACK_BYTES: usize = 256 * 1024;

/// sends all calls and waits until they have ended; `inject` runs at the time `fault_at`
pub fn drive(
    world: &World,
    calls: &[Prepared],
    fault_at: Duration,
    inject: impl FnOnce() + Send,
) -> Vec<Observation> {
    let (sender, receiver) = mpsc::channel();
    let start = Instant::now();
    thread::scope(|scope| {
        scope.spawn(move || {
            wait_until(start + fault_at);
            inject();
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
                eprintln!(
                    "thread for call {number} did not start, so the call was not sent: {error}"
                );
            }
        }
    });
    drop(sender);
    let mut observed: Vec<Observation> = receiver.iter().collect();
    observed.sort_by_key(|observed| observed.number);
    observed
}

fn wait_until(due: Instant) {
    thread::sleep(due.saturating_duration_since(Instant::now()));
}

fn send(client: &Client, number: usize, call: &Prepared, due: Instant) -> Observation {
    let observed = Observation::new(number, due.elapsed());
    match &call.body {
        Body::Model { request, .. } => complete(client, call, request, due, observed),
        Body::Booking { path, key, text } => book(client, call, (path, key, text), observed),
    }
}

fn complete(
    client: &Client,
    call: &Prepared,
    request: &Request,
    due: Instant,
    mut observed: Observation,
) -> Observation {
    let time_limit = request.deadline.unwrap_or_default() + DEADLINE_SLACK;
    let client = client.clone().timeout(time_limit);
    match client.complete(call.daemon, request) {
        Ok(completion) => {
            let matches = completion.text == request.expected(&request.engine_prompt());
            observed.end = if matches { End::Complete } else { End::Wrong };
            observed.first = completion.token_times.first().map(|at| *at - due);
            observed.gaps = completion.token_gaps();
            observed.tokens = completion.token_times.len() as u64;
            observed.reattached = completion.reattached;
        }
        Err(error) => record_failure(&mut observed, &error),
    }
    observed
}

fn book(
    client: &Client,
    call: &Prepared,
    (path, key, text): (&str, &str, &str),
    mut observed: Observation,
) -> Observation {
    match client.call_service(call.daemon, path, key, text) {
        Ok(booking) => {
            let echo = serde_json::from_str::<standin::plain::Response>(&booking.body);
            let mut matches = echo.is_ok_and(|response| response.echo == text);
            if call.repeated {
                match client.call_service(call.repeat_daemon, path, key, text) {
                    Ok(repeat) => matches &= repeat.body == booking.body,
                    Err(error) => {
                        observed.reason = format!("repeated: {error}");
                        return observed;
                    }
                }
            }
            observed.end = if matches { End::Complete } else { End::Wrong };
        }
        Err(error) => record_failure(&mut observed, &error),
    }
    observed
}

fn record_failure(observed: &mut Observation, error: &Error) {
    observed.end = match error.verdict() {
        Some(Verdict::NotRun) => End::NotRun,
        Some(Verdict::MayHaveRun) => End::MayHaveRun,
        Some(Verdict::Ran) | None => End::Interrupted,
    };
    observed.reason = error.to_string();
}
