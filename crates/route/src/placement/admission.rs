use std::time::Duration;

use super::TimeLimit;

/// longest expected time with which a request is accepted, in multiples of the objective
const OBJECTIVE_FACTOR: f64 = 1.1;

/// fraction of the limit of a more urgent kind that each step of lower urgency may use
const PRIORITY_STEP_FRACTION: f64 = 0.65;

/// addition to the retry delay for each step of lower urgency, so that refused callers retry
/// in order of urgency
const RETRY_AFTER_STEP: Duration = Duration::from_millis(700);

/// a kind of request of a service
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// urgency, 0 is the most urgent
    pub priority: u8,
    /// objective for the time to the first token
    pub objective: Duration,
}

/// longest queueing time as a fraction of the limit; a prompt whose own prefill exceeds the
/// limit is still accepted with it
const QUEUEING_FRACTION: f64 = 0.35;

/// longest expected time to the first token with which a request is accepted
///
/// A backlog that is acceptable for a kind with a long objective would make a more urgent
/// one miss its objective. So each kind leaves capacity for all that are more urgent.
pub fn time_limit(kind: Kind, kinds: &[Kind]) -> TimeLimit {
    let mut total = kind.objective.mul_f64(OBJECTIVE_FACTOR);
    for other in kinds.iter().filter(|other| other.priority < kind.priority) {
        let steps = i32::from(kind.priority - other.priority);
        let limit = other
            .objective
            .mul_f64(OBJECTIVE_FACTOR * PRIORITY_STEP_FRACTION.powi(steps));
        total = total.min(limit);
    }
    TimeLimit {
        total,
        queueing: total.mul_f64(QUEUEING_FRACTION),
    }
}

/// retry delay of a refused caller, when capacity is expected after `available_in`
pub fn retry_after(priority: u8, available_in: Duration) -> Duration {
    available_in + RETRY_AFTER_STEP * u32::from(priority)
}
