//! The right to act for capacity, shared by the candidate and the planner.

use std::sync::{Mutex, MutexGuard, PoisonError};

use fleet::StoreStatus;
use fleet::order::Term;
use macro_rules_attribute::apply;
use store::lease::Handle;
use tokio::time::Instant;

use super::{LEASE, ORDER_TIMEOUT};

/// a term as holder
#[apply(schema::value!)]
struct Held {
    fence: u64,
    since: Instant,
}

/// the store's last answer
#[apply(schema::value!)]
struct Answer {
    is_reached: bool,
    at: Instant,
}

/// the right to act
#[derive(Debug, Default)]
pub struct Tenure {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    guard: Handle,
    held: Option<Held>,
    answer: Option<Answer>,
    superseded: bool,
}

impl Tenure {
    /// begins anew with the guard of another lease
    pub(super) fn begin(&self, guard: Handle) {
        *self.state() = State {
            guard,
            ..State::default()
        };
    }

    /// takes in whether the store answered the candidate
    pub(super) fn answered(&self, is_reached: bool, now: Instant) {
        let mut state = self.state();
        let fence = state.guard.fence_if_valid(now);
        let was_out = state.answer.is_some_and(|answer| !answer.is_reached);
        // who loses the store while it holds the lease stays the last holder
        if is_reached || !was_out {
            state.held = fence.map(|fence| match state.held {
                Some(held) if held.fence == fence => held,
                _ => Held { fence, since: now },
            });
        }
        state.answer = Some(Answer {
            is_reached,
            at: now,
        });
    }

    /// notes that an engine has had orders of a later holder
    pub(super) fn superseded(&self) {
        self.state().superseded = true;
    }

    /// whether the lease has to be given up
    pub(super) fn is_superseded(&self) -> bool {
        self.state().superseded
    }

    /// whether this daemon holds the lease
    pub fn is_holder(&self, now: Instant) -> bool {
        self.state().guard.fence_if_valid(now).is_some()
    }

    /// whether the store answered last
    pub(super) fn store(&self) -> StoreStatus {
        match self.state().answer {
            Some(answer) if answer.is_reached => StoreStatus::Reachable,
            _ => StoreStatus::Unreachable,
        }
    }

    /// whether an order sent now falls under the lease, or under the outage's permit
    pub(super) fn permits(&self, now: Instant) -> bool {
        let state = self.state();
        if state.superseded {
            return false;
        }
        state.guard.fence_if_valid(now + ORDER_TIMEOUT).is_some() || state.is_last_holder(now)
    }

    /// the term by which engines are ordered; `None` when this daemon may not act
    pub(super) fn term(&self, now: Instant) -> Option<Term> {
        let state = self.state();
        let held = state.held?;
        if state.superseded {
            return None;
        }
        let lease = state.guard.term().filter(|term| now < term.expires_at);
        let expires = match lease {
            Some(term) => term.expires_at,
            None if state.is_last_holder(now) => now + LEASE,
            None => return None,
        };
        Some(Term {
            fence: held.fence,
            acquired: held.since,
            expires,
            lease: LEASE,
            order_timeout: ORDER_TIMEOUT,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// whether the store was lost under the lease and still is, as of a moment ago
    fn is_last_holder(&self, now: Instant) -> bool {
        // after a pause of the process the answer is too old to act on
        let is_out = self
            .answer
            .is_some_and(|answer| !answer.is_reached && now < answer.at + LEASE);
        is_out && self.held.is_some()
    }
}
