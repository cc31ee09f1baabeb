//! Membership inside a data centre.
//!
//! Each member probes its successor in the ring of instances, so that everybody is
//! probed in every period, and a random member besides. A member that does not
//! answer is asked through others, then suspected, and believed gone only after it
//! had time to refute. The cost to a daemon does not grow with the members.

mod prober;
mod table;
pub mod timing;

pub use prober::{Prober, Step};
pub(crate) use table::digest as table_digest;
pub use table::{Entry, Merge, Table};
