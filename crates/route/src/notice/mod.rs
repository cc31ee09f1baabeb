//! What upstream VMs state about themselves in their responses.
//!
//! A VM states that it drains, that it wants no requests for a time, or how many requests a second
//! it accepts from all daemons together. Each daemon sees only the responses to its own requests, so
//! the statements are merged from all daemons, in any order with the same result: a drain stays, the
//! latest end of a back-off counts, and so does the limit that was stated last. A statement belongs to
//! a process of the VM and ends with it. Times are milliseconds since the Unix epoch, by the daemons'
//! common estimate.

#[allow(clippy::module_inception)]
mod notice;
mod reach;
mod share;
mod table;
mod throttle;

pub use notice::Notice;
pub use reach::Reach;
pub use share::{Daemon, Limited, share};
pub use table::Table;
pub use throttle::Throttle;
