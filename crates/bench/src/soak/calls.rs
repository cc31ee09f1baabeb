//! Makes single calls and records their outcome.

use std::time::Duration;

use schema::failure::Verdict;
use serde::Deserialize;
use standin::engine::prompt_hash;

use super::history::{Call, CallKind, Outcome};
use super::recorder::{Recorder, now_ms};
use crate::client::{Ask, Booking, Client, Fault};

/// time limit of a call
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// time limit for the issue of a ticket
const TICKET_TIMEOUT: Duration = Duration::from_secs(5);

/// status of the response when a client reattaches to a request that the daemon does not know
const UNKNOWN_REQUEST_STATUS: u16 = 404;

/// a client that records the outcome of its calls
#[derive(Debug)]
pub struct RecordingClient<'a> {
    client: Client,
    key: &'a str,
    daemons: &'a [std::net::SocketAddr],
    plain_service: &'static str,
    recorder: &'a Recorder,
}

/// a booking to send
#[derive(Clone, Debug)]
pub struct BookingRequest {
    /// keyed, ticketed or unkeyed
    pub kind: CallKind,
    /// body, unique to this booking
    pub body: String,
    /// idempotency key or ticket; empty if there is none
    pub key: String,
}

#[derive(Deserialize)]
struct Ticket {
    ticket: String,
}

impl<'a> RecordingClient<'a> {
    /// a client with the API key of a workspace
    pub fn new(
        key: &'a str,
        daemons: &'a [std::net::SocketAddr],
        plain_service: &'static str,
        recorder: &'a Recorder,
    ) -> Self {
        Self {
            client: Client::new(key, daemons).patience(CALL_TIMEOUT),
            key,
            daemons,
            plain_service,
            recorder,
        }
    }

    /// sends a completion request and records its outcome
    pub fn complete(&self, kind: CallKind, daemon: usize, ask: &Ask) {
        let started = now_ms();
        let mut tokens = 0;
        let mut reattached = 0;
        let result = match kind {
            CallKind::Stream => {
                let watch = |count| tokens = count;
                let answer = self.client.complete_watching(daemon, ask, watch);
                answer.map(|answer| {
                    reattached = answer.reattached;
                    answer.text
                })
            }
            _ => self.client.complete_whole(daemon, ask),
        };
        let prompt = ask.engine_prompt();
        let outcome = outcome(&result, |text| *text == ask.expected(&prompt));
        let request_unknown = result
            .as_ref()
            .is_err_and(|fault| fault.status() == UNKNOWN_REQUEST_STATUS);
        self.record(Call {
            kind,
            payload: ask.prompt.clone(),
            hash: prompt_hash(&prompt),
            daemon,
            started,
            ended: now_ms(),
            accepted: tokens > 0 || request_unknown || is_accepted(&outcome),
            reattached,
            outcome,
        });
    }

    /// sends a booking and records its outcome; true if it need not be repeated
    pub fn book(&self, daemon: usize, booking: &BookingRequest) -> bool {
        let started = now_ms();
        let path = format!("{}/deposits", self.plain_service);
        let result = self.client.book(daemon, &path, &booking.key, &booking.body);
        let outcome = outcome(&result, |response| is_echo(response, &booking.body));
        let done = outcome == Outcome::Correct;
        self.record(Call {
            kind: booking.kind,
            payload: booking.body.clone(),
            hash: prompt_hash(&booking.body),
            daemon,
            started,
            ended: now_ms(),
            accepted: is_accepted(&outcome),
            reattached: 0,
            outcome,
        });
        done
    }

    /// a ticket issued by a daemon; none if the call fails
    pub fn ticket(&self, daemon: usize) -> Option<String> {
        let url = format!("http://{}/v1/tickets", self.daemons[daemon]);
        let request = attohttpc::post(url)
            .bearer_auth(self.key)
            .timeout(TICKET_TIMEOUT);
        let ticket: Ticket = request.send().ok()?.error_for_status().ok()?.json().ok()?;
        Some(ticket.ticket)
    }

    fn record(&self, call: Call) {
        self.recorder.history().calls.push(call);
    }
}

fn outcome<T: std::fmt::Debug>(
    result: &Result<T, Fault>,
    is_correct: impl Fn(&T) -> bool,
) -> Outcome {
    match result {
        Ok(answer) if is_correct(answer) => Outcome::Correct,
        Ok(answer) => Outcome::Wrong(format!("{answer:?}")),
        Err(Fault::Malformed(message)) => Outcome::Wrong(message.clone()),
        Err(Fault::Broken(message)) if message.contains("refused") => Outcome::Unreachable,
        Err(fault) => match fault.verdict() {
            Some(verdict) => Outcome::Failed {
                verdict,
                code: fault.code().to_owned(),
            },
            None => Outcome::NoResponse(fault.to_string()),
        },
    }
}

fn is_accepted(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Failed { verdict, .. } => *verdict != Verdict::NotRun,
        Outcome::Unreachable => false,
        _ => true,
    }
}

fn is_echo(response: &Booking, body: &str) -> bool {
    let reply: Result<standin::plain::Response, _> = serde_json::from_str(&response.body);
    reply.is_ok_and(|reply| reply.echo == body)
}
