//! Which requests a daemon still takes after its termination signal, and until when it works on them.
//!
//! Load pattern: a planned stop. The load balancer checks readiness at intervals and sends new
//! callers until several checks have failed. Callers may open a connection during this time and send
//! the first request on it much later, when what is left of the grace period is too short for a
//! response. A request that is read after the load balancer has removed the daemon is therefore taken only if
//! its time-out falls before the end: refused at once, its caller reaches another daemon. Before
//! that, a refused caller may be sent to the same daemon again, so that it is better served here.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::value;
use tokio::time::Instant;

/// time until the load balancer sends no new callers: it checks readiness once a second and removes a
/// daemon after two failed checks
pub const BALANCER_DELAY: Duration = Duration::from_millis(2800);

/// fraction of the grace period after which the process exits; the rest covers a delayed signal
const USABLE_GRACE_FRACTION: f64 = 0.92;

/// time before the exit by which a request without a response is answered, so that the answer
/// still reaches its caller
const ANSWER_TIME: Duration = Duration::from_millis(250);

/// times of a planned stop
#[apply(value!)]
pub struct Schedule {
    started: Instant,
    exit_at: Instant,
}

impl Schedule {
    /// a stop whose signal arrived at `started`, of a process that is killed `grace` later
    pub fn new(started: Instant, grace: Duration) -> Schedule {
        Schedule::until(started, started + grace.mul_f64(USABLE_GRACE_FRACTION))
    }

    /// a stop of a process that exits by itself
    pub fn until(started: Instant, exit_at: Instant) -> Schedule {
        Schedule { started, exit_at }
    }

    /// when the termination signal arrived
    pub fn started(&self) -> Instant {
        self.started
    }

    /// when the process exits at the latest; responses that are being written may last so long
    pub fn exit_at(&self) -> Instant {
        self.exit_at
    }

    /// when requests without a response fail with what is known of them
    pub fn answer_at(&self) -> Instant {
        let time = self.exit_at - self.started;
        self.started + time.saturating_sub(ANSWER_TIME)
    }

    /// whether a request that was read completely at `now` is taken; it ends after `time_limit`
    pub fn admits(&self, now: Instant, time_limit: Duration) -> bool {
        let answer_at = self.answer_at();
        let is_balanced = now < self.started + BALANCER_DELAY;
        now < answer_at && (is_balanced || now + time_limit <= answer_at)
    }
}
