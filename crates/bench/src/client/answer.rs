//! What a caller got.

use std::time::{Duration, Instant};

use macro_rules_attribute::apply;
use schema::data;

/// a whole answer to a completion
#[apply(data!)]
pub struct Answer {
    /// id of the request
    pub request_id: String,
    /// all its text
    pub text: String,
    /// when it was asked for
    pub asked_at: Instant,
    /// when each token came
    pub token_times: Vec<Instant>,
    /// times the caller came back to it
    pub reattached: u32,
}

impl Answer {
    /// time to the first token
    pub fn first_token(&self) -> Option<Duration> {
        self.token_times.first().map(|at| *at - self.asked_at)
    }

    /// times between tokens
    pub fn gaps(&self) -> Vec<Duration> {
        self.token_times
            .windows(2)
            .map(|pair| pair[1] - pair[0])
            .collect()
    }
}

/// the answer to a call of a plain service
#[apply(data!)]
pub struct Booking {
    /// HTTP status
    pub status: u16,
    /// body as it came
    pub body: String,
}

impl Booking {
    /// number that the plain stand-in gave the call
    pub fn sequence(&self) -> Option<u64> {
        let answer: standin::plain::Response = serde_json::from_str(&self.body).ok()?;
        Some(answer.sequence)
    }
}
