//! What a planner remembers between two plans.
//!
//! A successor starts with an empty state: it starts the same VMs under the
//! same names, and removes none before it has watched the load for a while.

mod memory;
mod refusal;
mod window;

pub(crate) use memory::Running;
pub use memory::State;
