//! Delays between retries, and a limit on their number.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rand::Rng;

/// exponential backoff with jitter
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// starts at `first` and doubles up to `max`
    pub fn new(first: Duration, max: Duration) -> Self {
        Backoff {
            first,
            max,
            next: first,
        }
    }

    /// the next delay, a random value from half of the step to the full step
    pub fn delay(&mut self) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(self.max);
        step.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    /// returns to the first delay after a success
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

/// retries permitted per call, on average
const RETRY_RATIO: f64 = 0.1;
/// retries that may accumulate; also the initial reserve
const MAX_RETRIES: f64 = 20.0;

/// limits retries to a tenth of the calls, beyond a small reserve
#[derive(Debug)]
pub struct RetryBudget {
    available: Mutex<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            available: Mutex::new(MAX_RETRIES),
        }
    }
}

impl RetryBudget {
    /// records a first attempt
    pub fn record_call(&self) {
        let mut available = self
            .available
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *available = (*available + RETRY_RATIO).min(MAX_RETRIES);
    }

    /// takes one retry from the budget; false if there is none
    pub fn try_take(&self) -> bool {
        let mut available = self
            .available
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if *available < 1.0 {
            return false;
        }
        *available -= 1.0;
        true
    }
}
