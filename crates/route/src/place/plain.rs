use std::time::Duration;

use super::load::Load;

/// time that a request of a plain service takes until it has been measured
pub(super) const WORK: Duration = Duration::from_millis(25);

/// expected time to the answer of a plain service's VM that takes `work` a request
pub(super) fn expected(slots: u32, load: &Load, work: Duration) -> Duration {
    let slots = slots.max(1);
    let waiting = (load.running + 1).saturating_sub(slots);
    let busy = f64::from(load.running.min(slots)) / f64::from(slots);
    work + work.mul_f64(busy * 0.5) + work.mul_f64(f64::from(waiting) / f64::from(slots))
}
