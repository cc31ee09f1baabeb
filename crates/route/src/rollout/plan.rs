use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;

use super::evidence::Evidence;
use super::order::{Bounds, Order};

/// share of the first step
const FIRST_SHARE: f64 = 0.25;

/// share of the second step, in which the load moves without a jump
const SECOND_SHARE: f64 = 0.5;

/// longest time of the second step: its evidence arrives after the last step
const SECOND_STEP: Duration = Duration::from_millis(300);

/// shortest time of the first step, if the bounds permit
const FIRST_STEP: Duration = Duration::from_millis(600);

/// responses of the new version in the first step that are enough for a finding on one route; with
/// little traffic the step is longer
const FIRST_SAMPLES: f64 = 100.0;

/// longest part of the time before the last step that the first one takes
const FIRST_PART: f64 = 0.75;

/// part of the allowed exposure that is planned; the rest covers a load that falls and draws above
/// their mean
const PLANNED_PART: f64 = 0.9;

/// time for writing the state before the deadline
const WRITE: Duration = Duration::from_secs(1);

/// time until the leader knows what daemons report
const REPORT: Duration = Duration::from_secs(2);

/// parts of the duration that writing takes at most, and draining with reports
const WRITE_PART: f64 = 0.085;
const DRAIN_PART: f64 = 0.35;

/// part of the drain time for which a suspicion delays the last step
const DELAY_PART: f64 = 0.4;

/// part of the write time that is left when a roll-out is given up
const GIVE_UP_PART: f64 = 0.4;

/// times at which the share changes, since the request
#[apply(data!)]
#[derive(Copy)]
pub(super) struct Plan {
    /// begin of the first step
    pub shift: Duration,
    /// begin of the second step
    pub second: Duration,
    /// from here on all requests go to the new version
    pub full: Duration,
    /// the same in case of a suspicion
    pub latest: Duration,
    /// from here on requests that may be repeated are interrupted
    pub cut: Duration,
    /// from here on the roll-out is given up if it is not complete
    pub give_up: Duration,
}

impl Plan {
    /// times for which a version that is stopped before the last step keeps the exposure bound
    ///
    /// The more of the bound the canary leaves, the longer the steps.
    pub fn new(order: &Order, bounds: &Bounds, evidence: &Evidence) -> Plan {
        let duration = order.duration;
        let write = WRITE.min(duration.mul_f64(WRITE_PART));
        let drain = (bounds.drain + REPORT).min(duration.mul_f64(DRAIN_PART));
        let cut = duration - write;
        let full = cut.saturating_sub(drain);
        let second = full.saturating_sub(SECOND_STEP.min(full.mul_f64(0.1)));
        let first = Plan::first_step(order, bounds, evidence, second, full);
        Plan {
            shift: second - first,
            second,
            full,
            latest: full + drain.mul_f64(DELAY_PART),
            cut,
            give_up: duration - write.mul_f64(GIVE_UP_PART),
        }
    }

    /// length of the first step
    fn first_step(
        order: &Order,
        bounds: &Bounds,
        evidence: &Evidence,
        second: Duration,
        full: Duration,
    ) -> Duration {
        let Some(rate) = evidence.rate() else {
            return Duration::ZERO;
        };
        let canary = bounds.canary_share();
        // exposures in seconds of all requests
        let slack = bounds.exposure_slack / rate;
        let allowed = bounds.exposure_share * order.duration.as_secs_f64() + slack;
        let second_step = SECOND_SHARE * (full - second).as_secs_f64();
        let left = PLANNED_PART * allowed - canary * second.as_secs_f64() - second_step;
        let affordable = left / (FIRST_SHARE - canary).max(f64::EPSILON);
        let longest = affordable.clamp(0.0, FIRST_PART * second.as_secs_f64());
        let needed = FIRST_SAMPLES / (FIRST_SHARE * rate);
        Duration::from_secs_f64(needed.max(FIRST_STEP.as_secs_f64()).min(longest))
    }

    /// share of the new version if nothing speaks against it
    pub fn share(&self, elapsed: Duration, canary: f64) -> f64 {
        if elapsed >= self.full {
            return 1.0;
        }
        if elapsed >= self.second {
            return SECOND_SHARE.max(canary);
        }
        if elapsed >= self.shift {
            return FIRST_SHARE.max(canary);
        }
        canary
    }
}
