//! The rule for one failed attempt.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;

use super::{Failure, Kind};
use crate::verdict;

/// most attempts of a request, the first included
const ATTEMPTS: u32 = 8;

/// most reconnects to one upstream VM in a row
const RECONNECTS: u32 = 1;

/// wait before the second move
const BACKOFF_FIRST: Duration = Duration::from_millis(50);

/// longest wait before a move, before jitter
const BACKOFF_LONGEST: Duration = Duration::from_secs(2);

/// what is known when an attempt fails
#[apply(data!)]
pub struct State {
    /// the request may be repeated, or its stream resumed
    pub idempotent: bool,
    /// attempts made, the failed one included
    pub attempts: u32,
    /// reconnects to this VM since the last token or move
    pub reconnects: u32,
    /// time left until the request's deadline
    pub deadline_left: Duration,
    /// the breaker of this VM lets nothing through
    pub breaker_open: bool,
    /// this VM is known to be leaving
    pub leaving: bool,
    /// what [`Budget::wait`](super::Budget::wait) returned
    pub budget_wait: Duration,
    /// random number from 0 to 1
    pub jitter: f64,
}

/// what to do next
#[apply(schema::value!)]
pub enum Step {
    /// open a new connection to the same VM and resume there; draws no budget
    Reconnect,
    /// choose another VM
    Move {
        /// wait before the attempt
        after: Duration,
    },
    /// answer the caller
    GiveUp,
}

/// decides what follows a failed attempt
pub fn decide(failure: &Failure, state: &State) -> Step {
    if failure.kind == Kind::Caller || !verdict::repeatable(failure.verdict, state.idempotent) {
        return Step::GiveUp;
    }
    if state.attempts >= ATTEMPTS && failure.kind != Kind::Leaving {
        return Step::GiveUp;
    }
    if can_reconnect(failure, state) {
        return Step::Reconnect;
    }
    let after = move_after(failure.kind, state);
    if after >= state.deadline_left {
        return Step::GiveUp;
    }
    Step::Move { after }
}

/// tells whether a failure moves a request without drawing from the budget
pub fn is_free(kind: Kind) -> bool {
    kind == Kind::Leaving
}

/// a connection can die while its VM and the VM's cache are well
fn can_reconnect(failure: &Failure, state: &State) -> bool {
    failure.kind.is_connection_lost()
        && state.reconnects < RECONNECTS
        && !state.breaker_open
        && !state.leaving
        && !state.deadline_left.is_zero()
}

fn move_after(kind: Kind, state: &State) -> Duration {
    if is_free(kind) {
        return Duration::ZERO;
    }
    state.budget_wait.max(backoff(state))
}

/// returns no wait for the first move, then exponential waits with full jitter
fn backoff(state: &State) -> Duration {
    let Some(doublings) = state.attempts.checked_sub(2) else {
        return Duration::ZERO;
    };
    let longest = BACKOFF_FIRST * 2_u32.saturating_pow(doublings.min(10));
    longest
        .min(BACKOFF_LONGEST)
        .mul_f64(state.jitter.clamp(0.0, 1.0))
}
