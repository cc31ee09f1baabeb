//! Time that requests wait beyond what is expected.
//!
//! Load pattern: VMs are lost, and the rest has more to do than the reports show, which are a second old.
//! The median time to the first event was 580 ms where 146 ms were expected, so that requests were
//! accepted and late. The difference is measured on each first event and added to the expected time
//! of the next requests, so that the least urgent ones are refused first. It fades when no responses
//! arrive.

use std::time::Duration;

use tokio::time::Instant;

/// weight of a new sample
const SAMPLE_WEIGHT: f64 = 0.1;

/// time constant with which the excess fades
const TIME_CONSTANT: Duration = Duration::from_millis(1500);

/// largest difference that counts, seconds: single VMs that are slow by more say nothing about the others
const MAX_SAMPLE_S: f64 = 1.0;

/// moving average of the time beyond the expected one
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Excess {
    mean_s: f64,
    updated_at: Option<Instant>,
}

impl Excess {
    /// records the expected time of a request, without an excess, and the actual one
    pub fn record(&mut self, expected: Duration, took: Duration, now: Instant) {
        let excess = took.as_secs_f64() - expected.as_secs_f64();
        let excess = excess.clamp(-MAX_SAMPLE_S, MAX_SAMPLE_S);
        let mean = self.faded(now);
        self.mean_s = mean + (excess - mean) * SAMPLE_WEIGHT;
        self.updated_at = Some(now);
    }

    /// the time to add to an expected one
    pub fn current(&self, now: Instant) -> Duration {
        Duration::try_from_secs_f64(self.faded(now)).unwrap_or_default()
    }

    fn faded(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let passed = now.saturating_duration_since(updated_at).as_secs_f64();
        self.mean_s * (-passed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
