//! A token bucket whose level may become negative.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;
use tokio::time::Instant;

/// capacity, in seconds of the refill rate
const BURST_SECONDS: f64 = 0.5;

/// tokens available, refilled at a rate
#[apply(data!)]
pub(super) struct Bucket {
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl Bucket {
    /// returns a bucket that is full when first used
    pub fn new() -> Bucket {
        Bucket {
            tokens: f64::INFINITY,
            refilled_at: None,
        }
    }

    /// refills at a rate, tokens per second
    pub fn refill(&mut self, rate: f64, now: Instant) {
        let since = self.refilled_at.unwrap_or(now);
        let passed = now.saturating_duration_since(since).as_secs_f64();
        let full = rate * BURST_SECONDS;
        self.tokens = (self.tokens + rate * passed).min(full);
        self.refilled_at = Some(since.max(now));
    }

    /// returns the time until the level exceeds a fraction of the capacity
    pub fn wait(&self, rate: f64, fraction: f64) -> Duration {
        let missing = rate * BURST_SECONDS * fraction - self.tokens;
        if missing < 0.0 {
            return Duration::ZERO;
        }
        let seconds = (missing / rate.max(f64::MIN_POSITIVE)).max(0.001);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// removes tokens, or returns them if negative
    pub fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
