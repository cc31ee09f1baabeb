//! Whether this daemon may order capacity, shared by the candidate and the planner.

use std::sync::{Mutex, MutexGuard, PoisonError};

use fleet::StoreStatus;
use fleet::order::Term;
use macro_rules_attribute::apply;
use store::lease::Handle;
use tokio::time::Instant;

use super::{LEASE_DURATION, ORDER_TIMEOUT};

/// a term of this daemon as holder of the lease
#[apply(schema::value!)]
struct Holding {
    fence: u64,
    acquired: Instant,
}

/// result of the last call to the store
#[apply(schema::value!)]
struct Poll {
    is_reachable: bool,
    at: Instant,
}

/// this daemon's right to order capacity
#[derive(Debug, Default)]
pub struct Leadership {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    handle: Handle,
    holding: Option<Holding>,
    last_poll: Option<Poll>,
    superseded: bool,
}

impl Leadership {
    /// starts over with the handle of a new lease
    pub(super) fn reset(&self, handle: Handle) {
        *self.state() = State {
            handle,
            ..State::default()
        };
    }

    /// records whether the candidate's call reached the store
    pub(super) fn record_poll(&self, is_reachable: bool, now: Instant) {
        let mut state = self.state();
        let fence = state.handle.fence_if_valid(now);
        let was_unreachable = state
            .last_poll
            .is_some_and(|last_poll| !last_poll.is_reachable);
        // a daemon that loses the store while it holds the lease stays the last holder
        if is_reachable || !was_unreachable {
            state.holding = fence.map(|fence| match state.holding {
                Some(holding) if holding.fence == fence => holding,
                _ => Holding {
                    fence,
                    acquired: now,
                },
            });
        }
        state.last_poll = Some(Poll {
            is_reachable,
            at: now,
        });
    }

    /// records that an engine has received orders of a later holder
    pub(super) fn mark_superseded(&self) {
        self.state().superseded = true;
    }

    /// whether the lease has to be given up
    pub(super) fn is_superseded(&self) -> bool {
        self.state().superseded
    }

    /// whether this daemon holds the lease
    pub fn is_holder(&self, now: Instant) -> bool {
        self.state().handle.fence_if_valid(now).is_some()
    }

    /// whether the last call reached the store
    pub(super) fn store_status(&self) -> StoreStatus {
        match self.state().last_poll {
            Some(last_poll) if last_poll.is_reachable => StoreStatus::Reachable,
            _ => StoreStatus::Unreachable,
        }
    }

    /// whether an order sent now is covered by the lease, or by the permit of the last holder
    /// during an outage of the store
    pub(super) fn may_order(&self, now: Instant) -> bool {
        let state = self.state();
        if state.superseded {
            return false;
        }
        state.handle.fence_if_valid(now + ORDER_TIMEOUT).is_some() || state.is_last_holder(now)
    }

    /// term under which engines are ordered; `None` if this daemon may not order
    pub(super) fn term(&self, now: Instant) -> Option<Term> {
        let state = self.state();
        let holding = state.holding?;
        if state.superseded {
            return None;
        }
        let lease = state.handle.term().filter(|term| now < term.expires_at);
        let expires = match lease {
            Some(term) => term.expires_at,
            None if state.is_last_holder(now) => now + LEASE_DURATION,
            None => return None,
        };
        Some(Term {
            fence: holding.fence,
            acquired: holding.acquired,
            expires,
            lease: LEASE_DURATION,
            order_timeout: ORDER_TIMEOUT,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// whether the store became unreachable while this daemon held the lease, and still is
    fn is_last_holder(&self, now: Instant) -> bool {
        // after a suspension of the process the last result is too old to rely on
        let is_unreachable = self.last_poll.is_some_and(|last_poll| {
            !last_poll.is_reachable && now < last_poll.at + LEASE_DURATION
        });
        is_unreachable && self.holding.is_some()
    }
}
