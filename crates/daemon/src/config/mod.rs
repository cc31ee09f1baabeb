//! Distribution of the configuration.
//!
//! Two daemons of a data centre watch the object API. The number of a new revision is
//! published to all daemons as a fact; a daemon that lacks the revision pulls the change,
//! or the complete document, from one that has it. The revision in force never decreases.

mod first;
mod follow;
mod history;
mod message;

pub use first::pull_newest;
pub use follow::{DUTY, FOLLOWERS, Follower};
pub use history::History;
pub use message::{Body, NO_REVISION, PULL, Pull, Update};
