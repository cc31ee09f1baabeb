//! A rate of events that forgets exponentially.

use macro_rules_attribute::apply;
use schema::data;
use tokio::time::Instant;

/// time constant, seconds
const WINDOW_SECONDS: f64 = 5.0;

/// events per second
#[apply(data!)]
#[derive(Copy, Default)]
pub(super) struct Rate {
    sum: f64,
    at: Option<Instant>,
}

impl Rate {
    /// records one event
    pub fn count(&mut self, now: Instant) {
        self.sum = self.decayed(now) + 1.0;
        self.at = Some(now);
    }

    /// returns the events per second
    pub fn per_second(&self, now: Instant) -> f64 {
        self.decayed(now) / WINDOW_SECONDS
    }

    fn decayed(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        self.sum * (-passed / WINDOW_SECONDS).exp()
    }
}
