//! Rate limit of calls.

use std::time::Instant;

/// a token bucket with the capacity of one second
#[derive(Debug)]
pub(super) struct TokenBucket {
    per_second: u32,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// a full bucket; a rate of 0 means no limit
    pub(super) fn new(per_second: u32) -> Self {
        TokenBucket {
            per_second,
            tokens: f64::from(per_second),
            refilled_at: Instant::now(),
        }
    }

    /// takes the token of one call; false if the bucket is empty
    pub(super) fn try_take(&mut self, now: Instant) -> bool {
        if self.per_second == 0 {
            return true;
        }
        let rate = f64::from(self.per_second);
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(rate);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
