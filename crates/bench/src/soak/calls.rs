//! Makes single calls and notes how they ended.

use std::time::Duration;

use schema::failure::Verdict;
use serde::Deserialize;
use standin::engine::prompt_hash;

use super::facts::{Call, CallKind, Outcome};
use super::notes::{Notes, now};
use crate::client::{Client, Error, Request, Response};

/// longest wait of a caller
const PATIENCE: Duration = Duration::from_secs(30);

/// longest wait for a ticket
const TICKET_TIMEOUT: Duration = Duration::from_secs(5);

/// status of an answer that knows nothing of the request come back to
const UNKNOWN_REQUEST: u16 = 404;

/// a caller whose calls are noted
#[derive(Debug)]
pub struct Caller<'a> {
    client: Client,
    key: &'a str,
    daemons: &'a [std::net::SocketAddr],
    desk: &'static str,
    notes: &'a Notes,
}

/// a booking to make
#[derive(Clone, Debug)]
pub struct Order {
    /// how it is made
    pub kind: CallKind,
    /// its body, unlike all others
    pub body: String,
    /// key or ticket; empty without
    pub key: String,
}

#[derive(Deserialize)]
struct Ticket {
    ticket: String,
}

impl<'a> Caller<'a> {
    /// a caller with a workspace's key
    pub fn new(
        key: &'a str,
        daemons: &'a [std::net::SocketAddr],
        desk: &'static str,
        notes: &'a Notes,
    ) -> Self {
        Self {
            client: Client::new(key, daemons).timeout(PATIENCE),
            key,
            daemons,
            desk,
            notes,
        }
    }

    /// asks for a completion
    pub fn complete(&self, kind: CallKind, daemon: usize, request: &Request) {
        let started = now();
        let mut tokens = 0;
        let mut reattached = 0;
        let result = match kind {
            CallKind::Stream => {
                let watch = |count| tokens = count;
                let answer = self.client.complete_with_progress(daemon, request, watch);
                answer.map(|answer| {
                    reattached = answer.reattached;
                    answer.text
                })
            }
            _ => self.client.complete_unstreamed(daemon, request),
        };
        let prompt = request.engine_prompt();
        let outcome = outcome(&result, |text| *text == request.expected(&prompt));
        let came_back = result
            .as_ref()
            .is_err_and(|error| error.status() == UNKNOWN_REQUEST);
        self.note(Call {
            kind,
            name: request.prompt.clone(),
            hash: prompt_hash(&prompt),
            daemon,
            started,
            ended: now(),
            accepted: tokens > 0 || came_back || is_accepted(&outcome),
            reattached,
            outcome,
        });
    }

    /// makes a booking; true if it need not be repeated
    pub fn book(&self, daemon: usize, order: &Order) -> bool {
        let started = now();
        let path = format!("{}/deposits", self.desk);
        let result = self
            .client
            .call_service(daemon, &path, &order.key, &order.body);
        let outcome = outcome(&result, |booking| echoes(booking, &order.body));
        let done = outcome == Outcome::Whole;
        self.note(Call {
            kind: order.kind,
            name: order.body.clone(),
            hash: prompt_hash(&order.body),
            daemon,
            started,
            ended: now(),
            accepted: is_accepted(&outcome),
            reattached: 0,
            outcome,
        });
        done
    }

    /// a new ticket of a daemon
    pub fn ticket(&self, daemon: usize) -> Option<String> {
        let url = format!("http://{}/v1/tickets", self.daemons[daemon]);
        let request = attohttpc::post(url)
            .bearer_auth(self.key)
            .timeout(TICKET_TIMEOUT);
        let ticket: Ticket = request.send().ok()?.error_for_status().ok()?.json().ok()?;
        Some(ticket.ticket)
    }

    fn note(&self, call: Call) {
        self.notes.facts().calls.push(call);
    }
}

fn outcome<T: std::fmt::Debug>(result: &Result<T, Error>, is_own: impl Fn(&T) -> bool) -> Outcome {
    match result {
        Ok(answer) if is_own(answer) => Outcome::Whole,
        Ok(answer) => Outcome::Wrong(format!("{answer:?}")),
        Err(Error::InvalidResponse(message)) => Outcome::Wrong(message.clone()),
        Err(Error::Connection(message)) if message.contains("refused") => Outcome::Unreached,
        Err(error) => match error.verdict() {
            Some(verdict) => Outcome::Refused {
                verdict,
                code: error.code().to_owned(),
            },
            None => Outcome::Cut(error.to_string()),
        },
    }
}

fn is_accepted(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Refused { verdict, .. } => *verdict != Verdict::NotRun,
        Outcome::Unreached => false,
        _ => true,
    }
}

fn echoes(booking: &Response, body: &str) -> bool {
    let answer: Result<standin::plain::Response, _> = serde_json::from_str(&booking.body);
    answer.is_ok_and(|answer| answer.echo == body)
}
