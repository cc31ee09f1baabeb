use std::time::Duration;

use super::Patience;

/// expected time, in objectives, up to which a request is taken
const OBJECTIVES: f64 = 1.1;

/// part of the patience of a more urgent kind that the next less urgent one may use
const NEXT_PART: f64 = 0.65;

/// time by which a refused caller is told to come back later for each step of urgency, so
/// that callers return in the order of their urgency
const RETURN_STEP: Duration = Duration::from_millis(700);

/// a kind of request of a service
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// its urgency, 0 first
    pub priority: u8,
    /// time to the first token that its callers hope for
    pub objective: Duration,
}

/// part of that time for which a long prompt may wait though it is late by itself
const WAIT_PART: f64 = 0.35;

/// longest expected time to the first token with which a request is taken
///
/// A backlog that is bearable for a kind with a long objective would make a more urgent
/// one late. So each kind leaves room for all that are more urgent.
pub fn patience(own: Kind, kinds: &[Kind]) -> Patience {
    let mut total = own.objective.mul_f64(OBJECTIVES);
    for kind in kinds.iter().filter(|kind| kind.priority < own.priority) {
        let steps = i32::from(own.priority - kind.priority);
        let left = kind.objective.mul_f64(OBJECTIVES * NEXT_PART.powi(steps));
        total = total.min(left);
    }
    Patience {
        total,
        wait: total.mul_f64(WAIT_PART),
    }
}

/// time after which a refused caller may come back, when there is room after `room`
pub fn return_after(priority: u8, room: Duration) -> Duration {
    room + RETURN_STEP * u32::from(priority)
}
