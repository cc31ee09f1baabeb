//! A rate of events or amounts with exponential decay.

use macro_rules_attribute::apply;
use schema::data;
use tokio::time::Instant;

/// time constant, seconds
const WINDOW_SECONDS: f64 = 5.0;

/// events or amount per second
#[apply(data!)]
#[derive(Copy, Default)]
pub(super) struct Rate {
    sum: f64,
    updated: Option<Instant>,
}

impl Rate {
    /// records one event
    pub fn count(&mut self, now: Instant) {
        self.add(1.0, now);
    }

    /// records an amount
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.sum = self.decayed(now) + amount;
        self.updated = Some(now);
    }

    /// events, or amount, per second
    pub fn per_second(&self, now: Instant) -> f64 {
        self.decayed(now) / WINDOW_SECONDS
    }

    fn decayed(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let elapsed = now.saturating_duration_since(updated).as_secs_f64();
        self.sum * (-elapsed / WINDOW_SECONDS).exp()
    }
}
