use std::time::Duration;

use tokio::time::Instant;

use super::load::Load;

/// response time of a plain service assumed before the first measurement
const DEFAULT_RESPONSE_TIME: Duration = Duration::from_millis(25);

/// weight of a new sample in the moving average
const SAMPLE_WEIGHT: f64 = 0.1;

/// age of a measurement after which a VM is assumed to be as fast as the others, so that one
/// that was slow once is tried again
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(2);

/// moving average of response times
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ResponseTime {
    mean: Option<(Duration, Instant)>,
}

impl ResponseTime {
    /// records a request with its response time
    pub fn record(&mut self, took: Duration, now: Instant) {
        let mean = match self.mean {
            None => took,
            Some((mean, _)) => mean.mul_f64(1.0 - SAMPLE_WEIGHT) + took.mul_f64(SAMPLE_WEIGHT),
        };
        self.mean = Some((mean, now));
    }

    /// returns the average as far as it was measured; of a service before it is recorded anew
    pub fn mean(&self) -> Option<Duration> {
        self.mean.map(|(mean, _)| mean)
    }

    /// returns the average; that of the service if there is none, or an old and slower one
    pub fn estimate(&self, baseline: ResponseTime, now: Instant) -> Duration {
        let baseline = baseline
            .mean
            .map_or(DEFAULT_RESPONSE_TIME, |(mean, _)| mean);
        match self.mean {
            Some((mean, at)) if now.saturating_duration_since(at) < MAX_SAMPLE_AGE => mean,
            Some((mean, _)) => mean.min(baseline),
            None => baseline,
        }
    }
}

/// expected time to the response of a plain service's VM, by its response time when idle
pub(super) fn expected(slots: u32, load: &Load, response_time: Duration) -> Duration {
    let slots = slots.max(1);
    let waiting = (load.running + 1).saturating_sub(slots);
    let busy = f64::from(load.running.min(slots)) / f64::from(slots);
    response_time
        + response_time.mul_f64(busy * 0.5)
        + response_time.mul_f64(f64::from(waiting) / f64::from(slots))
}
