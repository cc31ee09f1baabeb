//! A budget of retries, in proportion to first attempts.
//!
//! Each first attempt earns a tenth of a retry and a small floor is earned by time, so
//! that a quiet daemon can still retry. A retry may be taken on credit: it then waits
//! until it would have been earned, which paces retries after a large loss in place of
//! failing requests that have time left.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;
use tokio::time::Instant;

/// retries earned by one first attempt
const SHARE: f64 = 0.1;

/// retries earned per second without traffic
const FLOOR_PER_SECOND: f64 = 1.0;

/// most retries saved, seconds of the earning rate
const SAVED_SECONDS: f64 = 10.0;

/// time constant of the measured traffic, seconds
const TRAFFIC_SECONDS: f64 = 10.0;

/// the retry budget of one daemon
#[apply(data!)]
pub struct Budget {
    saved: f64,
    traffic: f64,
    at: Instant,
}

impl Budget {
    /// returns a budget with the floor saved up
    pub fn new(now: Instant) -> Budget {
        Budget {
            saved: FLOOR_PER_SECOND * SAVED_SECONDS,
            traffic: 0.0,
            at: now,
        }
    }

    /// records a first attempt
    pub fn earn(&mut self, now: Instant) {
        self.advance(now);
        self.traffic += 1.0 / TRAFFIC_SECONDS;
        self.save(SHARE);
    }

    /// returns how long the next retry has to wait for its budget
    pub fn wait(&mut self, now: Instant) -> Duration {
        self.advance(now);
        let missing = 1.0 - self.saved;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(missing / self.rate())
    }

    /// takes one retry and returns how long it has to wait
    pub fn take(&mut self, now: Instant) -> Duration {
        let wait = self.wait(now);
        self.saved -= 1.0;
        wait
    }

    /// gives back a retry that was taken and not made
    pub fn give_back(&mut self) {
        self.save(1.0);
    }

    /// returns the retries earned per second
    fn rate(&self) -> f64 {
        FLOOR_PER_SECOND + SHARE * self.traffic
    }

    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.traffic *= (-passed / TRAFFIC_SECONDS).exp();
        self.at = self.at.max(now);
        self.save(FLOOR_PER_SECOND * passed);
    }

    fn save(&mut self, retries: f64) {
        let most = self.rate() * SAVED_SECONDS;
        self.saved = (self.saved + retries).min(most);
    }
}
