//! Membership inside a data centre.
//!
//! In every period each member probes its successor in the ring of instances, so that every
//! member is probed, and one random member. A member that does not respond is probed
//! indirectly through others, then suspected, and marked as gone only after it had time to
//! refute the suspicion. The cost to a daemon does not grow with the number of members.

mod prober;
mod table;
pub mod timing;

pub use prober::{Action, Prober};
pub(crate) use table::record_digest;
pub use table::{Entry, Merge, Table};
