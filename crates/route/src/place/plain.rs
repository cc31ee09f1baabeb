use std::time::Duration;

use tokio::time::Instant;

use super::load::Load;

/// time that a request of a plain service takes until it has been measured
const WORK: Duration = Duration::from_millis(25);

/// weight of one more answer in the mean time
const WEIGHT: f64 = 0.1;

/// age of a measurement after which a VM is taken to be as fast as the others again, so
/// that one that was slow once is tried again
const STALE: Duration = Duration::from_secs(2);

/// mean time that requests take
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pace {
    mean: Option<(Duration, Instant)>,
}

impl Pace {
    /// takes in a request that took so long
    pub fn measure(&mut self, took: Duration, now: Instant) {
        let mean = match self.mean {
            None => took,
            Some((mean, _)) => mean.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT),
        };
        self.mean = Some((mean, now));
    }

    /// the mean; that of all VMs where there is none, or an old and slower one
    pub fn at_least_as_good_as(&self, usual: Pace, now: Instant) -> Duration {
        let usual = usual.mean.map_or(WORK, |(mean, _)| mean);
        match self.mean {
            Some((mean, at)) if now.saturating_duration_since(at) < STALE => mean,
            Some((mean, _)) => mean.min(usual),
            None => usual,
        }
    }
}

/// expected time to the answer of a plain service's VM that takes `work` a request
pub(super) fn expected(slots: u32, load: &Load, work: Duration) -> Duration {
    let slots = slots.max(1);
    let waiting = (load.running + 1).saturating_sub(slots);
    let busy = f64::from(load.running.min(slots)) / f64::from(slots);
    work + work.mul_f64(busy * 0.5) + work.mul_f64(f64::from(waiting) / f64::from(slots))
}
