//! A retry budget in proportion to first attempts.
//!
//! Each first attempt adds a tenth of a retry to the balance. A minimum rate is added
//! independent of traffic, so that a daemon with few requests can still retry. The balance
//! may become negative: the retry then waits until the balance would be restored. After
//! many simultaneous failures this delays retries instead of failing requests whose
//! deadline has not passed.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;
use tokio::time::Instant;

/// retries added per first attempt
const RETRIES_PER_ATTEMPT: f64 = 0.1;

/// retries added per second independent of traffic
const MIN_RETRIES_PER_SECOND: f64 = 1.0;

/// maximum balance, in seconds of the current rate
const MAX_BALANCE_SECONDS: f64 = 10.0;

/// time constant of the moving average of first attempts, seconds
const AVERAGE_SECONDS: f64 = 10.0;

/// retry budget of one daemon
#[apply(data!)]
pub struct Budget {
    balance: f64,
    attempts_per_second: f64,
    updated: Instant,
}

impl Budget {
    /// creates a budget with the maximum balance of a daemon without traffic
    pub fn new(now: Instant) -> Budget {
        Budget {
            balance: MIN_RETRIES_PER_SECOND * MAX_BALANCE_SECONDS,
            attempts_per_second: 0.0,
            updated: now,
        }
    }

    /// records a first attempt
    pub fn record_attempt(&mut self, now: Instant) {
        self.advance(now);
        self.attempts_per_second += 1.0 / AVERAGE_SECONDS;
        self.credit(RETRIES_PER_ATTEMPT);
    }

    /// time that the next retry has to wait for the balance
    pub fn wait(&mut self, now: Instant) -> Duration {
        self.advance(now);
        let missing = 1.0 - self.balance;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(missing / self.rate())
    }

    /// takes one retry from the balance and returns how long it has to wait
    pub fn take(&mut self, now: Instant) -> Duration {
        let wait = self.wait(now);
        self.balance -= 1.0;
        wait
    }

    /// returns a retry that was taken but not sent
    pub fn refund(&mut self) {
        self.credit(1.0);
    }

    /// retries added per second
    fn rate(&self) -> f64 {
        MIN_RETRIES_PER_SECOND + RETRIES_PER_ATTEMPT * self.attempts_per_second
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.attempts_per_second *= (-elapsed / AVERAGE_SECONDS).exp();
        self.updated = self.updated.max(now);
        self.credit(MIN_RETRIES_PER_SECOND * elapsed);
    }

    fn credit(&mut self, retries: f64) {
        let max = self.rate() * MAX_BALANCE_SECONDS;
        self.balance = (self.balance + retries).min(max);
    }
}
