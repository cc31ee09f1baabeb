use std::time::Duration;

use tokio::time::Instant;

/// largest number of requests that may be sent at once
const BURST: f64 = 1.0;

/// limit on the requests that this daemon sends to a VM
///
/// It begins empty, so that a daemon that takes over from another adds no burst.
#[derive(Debug, Clone)]
pub struct Throttle {
    per_second: f64,
    available: f64,
    updated: Instant,
}

impl Throttle {
    /// a limit of requests per second
    pub fn new(per_second: f64, now: Instant) -> Throttle {
        Throttle {
            per_second,
            available: 0.0,
            updated: now,
        }
    }

    /// changes the limit
    pub fn set(&mut self, per_second: f64, now: Instant) {
        self.refill(now);
        self.per_second = per_second;
        if per_second <= 0.0 {
            self.available = 0.0;
        }
    }

    /// time until a request may be sent; none if this daemon may send none
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        if self.per_second <= 0.0 {
            return None;
        }
        let missing = BURST - self.available_at(now);
        Some(Duration::from_secs_f64(missing.max(0.0) / self.per_second))
    }

    /// records that a request is sent
    pub fn take(&mut self, now: Instant) {
        self.refill(now);
        self.available -= 1.0;
    }

    fn available_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        (self.available + elapsed.as_secs_f64() * self.per_second).min(BURST)
    }

    fn refill(&mut self, now: Instant) {
        self.available = self.available_at(now);
        self.updated = now;
    }
}
