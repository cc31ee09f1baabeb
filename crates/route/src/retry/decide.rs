//! Decides what follows a failed attempt.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;

use super::{Failure, Kind};
use crate::verdict;

/// maximum attempts of a request, including the first
const MAX_ATTEMPTS: u32 = 8;

/// maximum consecutive reconnects to one upstream VM
const MAX_RECONNECTS: u32 = 1;

/// maximum wait before the second move to another VM
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// upper bound of the wait before a move, before jitter
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// state of a request when an attempt fails
#[apply(data!)]
pub struct AttemptState {
    /// the request may be repeated, or its stream resumed
    pub idempotent: bool,
    /// attempts made, including the failed one
    pub attempts: u32,
    /// reconnects to this VM since the last token or move
    pub reconnects: u32,
    /// time left until the request's deadline
    pub deadline_left: Duration,
    /// the circuit breaker of this VM is open
    pub breaker_open: bool,
    /// this VM is draining
    pub draining: bool,
    /// what [`Budget::wait`](super::Budget::wait) returned
    pub budget_wait: Duration,
    /// random number from 0 to 1
    pub jitter: f64,
}

/// what to do next
#[apply(schema::value!)]
pub enum Step {
    /// open a new connection to the same VM and resume there; takes nothing from the budget
    Reconnect,
    /// send the request to another VM
    Move {
        /// wait before the attempt
        after: Duration,
    },
    /// respond to the caller with an error
    GiveUp,
}

/// decides what follows a failed attempt
pub fn decide(failure: &Failure, state: &AttemptState) -> Step {
    if failure.kind == Kind::InvalidRequest
        || !verdict::repeatable(failure.verdict, state.idempotent)
    {
        return Step::GiveUp;
    }
    if state.attempts >= MAX_ATTEMPTS && failure.kind != Kind::Draining {
        return Step::GiveUp;
    }
    if can_reconnect(failure, state) {
        return Step::Reconnect;
    }
    let after = move_delay(failure.kind, state);
    if after >= state.deadline_left {
        return Step::GiveUp;
    }
    Step::Move { after }
}

/// whether the retry after a failure takes nothing from the budget
pub fn needs_no_budget(kind: Kind) -> bool {
    kind == Kind::Draining
}

/// whether to reconnect: the VM and its KV cache may survive a lost connection
fn can_reconnect(failure: &Failure, state: &AttemptState) -> bool {
    failure.kind.is_connection_lost()
        && state.reconnects < MAX_RECONNECTS
        && !state.breaker_open
        && !state.draining
        && !state.deadline_left.is_zero()
}

fn move_delay(kind: Kind, state: &AttemptState) -> Duration {
    if needs_no_budget(kind) {
        return Duration::ZERO;
    }
    state.budget_wait.max(backoff(state))
}

/// zero for the first move, then exponential backoff with full jitter
fn backoff(state: &AttemptState) -> Duration {
    let Some(doublings) = state.attempts.checked_sub(2) else {
        return Duration::ZERO;
    };
    let uncapped = INITIAL_BACKOFF * 2_u32.saturating_pow(doublings.min(10));
    uncapped
        .min(MAX_BACKOFF)
        .mul_f64(state.jitter.clamp(0.0, 1.0))
}
