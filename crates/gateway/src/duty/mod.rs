//! What one daemon does for all: reporting usage and ordering upstream VMs.
//!
//! The right to do so is a lease in the object API. [`Permit`] is made only while the
//! lease holds for long enough to finish a call, so whoever has one may send.

mod capacity;
mod holder;
mod usage;

pub use capacity::capacity;
pub use holder::{CALL_TIME, Holder, Permit};
pub use usage::usage;
