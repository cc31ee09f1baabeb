//! Rate limit of calls.

use std::time::Instant;

/// a token bucket that holds one second's worth
#[derive(Debug)]
pub(super) struct Bucket {
    per_second: u32,
    level: f64,
    filled: Instant,
}

impl Bucket {
    /// a full bucket; a rate of 0 never refuses
    pub(super) fn new(per_second: u32) -> Self {
        Bucket {
            per_second,
            level: f64::from(per_second),
            filled: Instant::now(),
        }
    }

    /// takes one call out, or refuses it
    pub(super) fn take(&mut self, now: Instant) -> bool {
        if self.per_second == 0 {
            return true;
        }
        let rate = f64::from(self.per_second);
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.level = (self.level + elapsed * rate).min(rate);
        self.filled = now;
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
