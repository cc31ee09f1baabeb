//! The configuration on this daemon: where it comes from and where it goes.
//!
//! Two daemons of a data centre follow the object API. A new revision is told
//! to all daemons as a fact; a daemon that lacks it pulls the change, or the
//! whole body, from one that has it. Revisions only go up.

mod follow;
mod keeper;
mod message;

pub use follow::{DUTY, FOLLOWERS, Follower};
pub use keeper::Keeper;
pub use message::{PULL, Pull};
