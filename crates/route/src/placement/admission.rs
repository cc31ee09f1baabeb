//! Limits on the expected time with which requests are accepted.
//!
//! Load pattern: callers that were refused come back as told while VMs are full. Part of the time
//! to their objective is spent, so they compete with new requests that have all of theirs, and are
//! refused again. A caller that has come back is recognised without shared state by the time that it
//! has left, and its limit is wider than that of a new request of its kind:
//!
//! * If it can still be served within its objective, it is treated like a kind that is one step
//!   more urgent, as far as its objective allows.
//! * Otherwise its limit is wider by [`RETURNED_FACTOR`] only: a response that is late anyway is
//!   worth little, and a wide limit would fill the VMs until new requests are late as well.
//!
//! A stream that its caller resumes goes ahead in the same way: its first event was in time, and
//! what has been generated is lost if it does not go on.
//!
//! A client that states a short time to be taken for one that has come back gains no more than
//! this: the more time it claims to have waited, the less of its objective is left.

use std::time::Duration;

use super::TimeLimit;
use crate::fairness::Standing;

/// longest expected time with which a request is accepted, in multiples of the objective
const OBJECTIVE_FACTOR: f64 = 1.1;

/// fraction of the limit of a more urgent kind that each step of lower urgency may use
const PRIORITY_STEP_FRACTION: f64 = 0.65;

/// limit of a caller that has come back and will be late, in multiples of that of a new request
const RETURNED_FACTOR: f64 = 1.2;

/// time that a caller must have spent to be taken for one that has come back: less than the
/// shortest retry delay, more than a first attempt takes to arrive
const MIN_WAITED: Duration = Duration::from_millis(100);

/// a kind of request of a service
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// urgency, 0 is the most urgent
    pub priority: u8,
    /// objective for the time to the first token
    pub objective: Duration,
}

/// time of a request's caller
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Caller {
    /// time that it has spent before this attempt
    pub waited: Duration,
    /// time for which it still waits
    pub left: Duration,
    /// whether it resumes a stream of which it has events
    pub is_resuming: bool,
    /// how its request stands to the share of its workspace
    pub standing: Standing,
}

impl Caller {
    /// the caller of a request that states its time left, if it does, for a route with a time-out;
    /// `since_arrival` is the time that the request has spent at this daemon
    pub fn new(stated: Option<Duration>, timeout: Duration, since_arrival: Duration) -> Caller {
        let left = stated.map_or(timeout, |stated| stated.min(timeout));
        Caller {
            waited: timeout - left,
            left: left.saturating_sub(since_arrival),
            is_resuming: false,
            standing: Standing::Usual,
        }
    }

    /// whether it was refused before and has come back
    pub fn has_returned(&self) -> bool {
        self.waited >= MIN_WAITED
    }
}

/// longest queueing time as a fraction of the limit; a prompt whose own prefill exceeds the
/// limit is still accepted with it
const QUEUEING_FRACTION: f64 = 0.35;

/// the same within the share of a workspace while capacity is short: long prompts would be refused
/// more often than short ones, as most VMs have a queue
const SHORT_QUEUEING_FRACTION: f64 = 0.6;

/// expected wait up to which a VM counts as idle: that of two running requests
const IDLE_WAIT: Duration = Duration::from_millis(3);

/// the same for plain services, whose requests all take about as long: half of the VMs' response
/// time is expected to be added when all slots are busy and nothing waits
const PLAIN_QUEUEING_FRACTION: f64 = 0.5;

/// longest expected time to the first token with which a request is accepted
///
/// A backlog that is acceptable for a kind with a long objective would make a more urgent
/// one miss its objective. So each kind leaves capacity for all that are more urgent.
pub fn time_limit(kind: Kind, kinds: &[Kind], caller: &Caller) -> TimeLimit {
    limit(kind, kinds, caller, QUEUEING_FRACTION)
}

/// longest expected time to the response with which a request of a plain service is accepted
pub fn plain_time_limit(kind: Kind, kinds: &[Kind], caller: &Caller) -> TimeLimit {
    limit(kind, kinds, caller, PLAIN_QUEUEING_FRACTION)
}

fn limit(kind: Kind, kinds: &[Kind], caller: &Caller, queueing: f64) -> TimeLimit {
    let objective = kind.objective.mul_f64(OBJECTIVE_FACTOR);
    let mut queueing = queueing;
    let mut total = match caller.standing {
        Standing::Usual => limit_of_new(kind, kinds, i32::MAX),
        Standing::Within => {
            queueing = queueing.max(SHORT_QUEUEING_FRACTION);
            limit_of_new(kind, kinds, 1).min(shortest(kind, kinds))
        }
        Standing::Beyond => {
            return TimeLimit {
                total: Duration::ZERO,
                queueing: IDLE_WAIT,
                patience: caller.left,
            };
        }
    };
    if caller.is_resuming {
        total = total.div_f64(PRIORITY_STEP_FRACTION);
    } else if caller.has_returned() {
        let until_late = objective.saturating_sub(caller.waited);
        let late = total.mul_f64(RETURNED_FACTOR);
        let step = total.div_f64(PRIORITY_STEP_FRACTION);
        total = step.min(until_late).max(late);
    }
    TimeLimit {
        total,
        queueing: total.mul_f64(queueing),
        patience: caller.left,
    }
}

/// limit of a new request; more urgent kinds count as no more than `max_steps` more urgent
fn limit_of_new(kind: Kind, kinds: &[Kind], max_steps: i32) -> Duration {
    let mut total = kind.objective.mul_f64(OBJECTIVE_FACTOR);
    for other in kinds.iter().filter(|other| other.priority < kind.priority) {
        let steps = i32::from(kind.priority - other.priority).min(max_steps);
        let limit = other
            .objective
            .mul_f64(OBJECTIVE_FACTOR * PRIORITY_STEP_FRACTION.powi(steps));
        total = total.min(limit);
    }
    total
}

/// limit of the kind with the shortest objective: a workspace's priority may place a kind with a long
/// objective before it, whose backlog would make it late
fn shortest(kind: Kind, kinds: &[Kind]) -> Duration {
    let objectives = kinds.iter().map(|other| other.objective);
    let shortest = objectives.min().unwrap_or(kind.objective);
    shortest.min(kind.objective).mul_f64(OBJECTIVE_FACTOR)
}
