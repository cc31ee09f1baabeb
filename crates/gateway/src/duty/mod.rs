//! Duties that one daemon performs for all: reporting usage and ordering upstream VMs.
//!
//! The daemon is elected by a lease in the object API. A [`Permit`] is issued only while the
//! lease remains valid for long enough to finish a call, and is required for each call.

mod capacity;
mod lease;
mod usage;

pub use capacity::order_capacity;
pub use lease::{CALL_TIMEOUT, Lease, Permit};
pub use usage::report_usage;
