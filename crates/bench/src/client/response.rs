//! Responses that a caller received.

use std::time::{Duration, Instant};

use macro_rules_attribute::apply;
use schema::data;

/// complete response to a completion
#[apply(data!)]
pub struct Completion {
    /// id of the request
    pub request_id: String,
    /// generated text
    pub text: String,
    /// when the request was sent
    pub sent_at: Instant,
    /// when each token arrived
    pub token_times: Vec<Instant>,
    /// number of times the caller reattached to the stream
    pub reattached: u32,
}

impl Completion {
    /// time to the first token
    pub fn first_token(&self) -> Option<Duration> {
        self.token_times.first().map(|at| *at - self.sent_at)
    }

    /// times between tokens
    pub fn token_gaps(&self) -> Vec<Duration> {
        self.token_times
            .windows(2)
            .map(|pair| pair[1] - pair[0])
            .collect()
    }
}

/// buffered response to a call of a plain service or a GET
#[apply(data!)]
pub struct Response {
    /// HTTP status
    pub status: u16,
    /// body
    pub body: String,
}

impl Response {
    /// sequence number that the stand-in of the plain service gave the call
    pub fn sequence(&self) -> Option<u64> {
        let response: standin::plain::Response = serde_json::from_str(&self.body).ok()?;
        Some(response.sequence)
    }
}
