//! How often and how fast failed calls are repeated.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rand::Rng;

/// a doubling delay of which a random part is waited
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    most: Duration,
    next: Duration,
}

impl Backoff {
    /// starts at `first` and doubles up to `most`
    pub fn new(first: Duration, most: Duration) -> Self {
        Backoff {
            first,
            most,
            next: first,
        }
    }

    /// the next delay, between a half and the whole of the step
    pub fn delay(&mut self) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(self.most);
        step.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    /// starts over after a success
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

const EARNED_PER_CALL: f64 = 0.1;
const MOST_SAVED: f64 = 20.0;

/// lets repeats be a tenth of the calls, beyond a small reserve
#[derive(Debug)]
pub struct Budget {
    saved: Mutex<f64>,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            saved: Mutex::new(MOST_SAVED),
        }
    }
}

impl Budget {
    /// notes a first attempt
    pub fn earn(&self) {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        *saved = (*saved + EARNED_PER_CALL).min(MOST_SAVED);
    }

    /// takes out one repeat, if there is one
    pub fn spend(&self) -> bool {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
