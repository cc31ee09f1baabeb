//! State that a planner keeps between two plans.
//!
//! The state is not handed over to the next holder of the lease. A new planner derives the
//! same VM names from an empty state, and removes no VM before it has recorded the demand for
//! a full window.

mod backoff;
mod planner;
mod window;

pub(crate) use planner::Presence;
pub use planner::State;
