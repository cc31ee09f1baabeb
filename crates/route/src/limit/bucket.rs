//! A token bucket that may go into debt.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;
use tokio::time::Instant;

/// size of a full bucket, seconds of its rate
const BURST_SECONDS: f64 = 0.5;

/// tokens to spend, refilled at a rate
#[apply(data!)]
pub(super) struct Bucket {
    tokens: f64,
    at: Option<Instant>,
}

impl Bucket {
    /// returns a bucket that is full when first used
    pub fn new() -> Bucket {
        Bucket {
            tokens: f64::INFINITY,
            at: None,
        }
    }

    /// refills at a rate, tokens per second
    pub fn refill(&mut self, rate: f64, now: Instant) {
        let since = self.at.unwrap_or(now);
        let passed = now.saturating_duration_since(since).as_secs_f64();
        let full = rate * BURST_SECONDS;
        self.tokens = (self.tokens + rate * passed).min(full);
        self.at = Some(since.max(now));
    }

    /// returns how long until more than a part of the bucket is filled
    pub fn wait(&self, rate: f64, part: f64) -> Duration {
        let missing = rate * BURST_SECONDS * part - self.tokens;
        if missing < 0.0 {
            return Duration::ZERO;
        }
        let seconds = (missing / rate.max(f64::MIN_POSITIVE)).max(0.001);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// takes tokens, or gives them back if negative
    pub fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
