//! What the store says, passed on inside a group of daemons.
//!
//! One daemon of a group (the watcher) reads the store; the others follow it, half of them through
//! a second one (the standby), which takes over if the watcher fails. A follower
//! calls another daemon, which holds the call until it has something newer or the wait is over,
//! and answers with the newer configuration, the changes of the VMs, and how long ago both were
//! known to be the newest. A follower keeps the same state and answers the same calls, so it
//! can be followed in turn.
//!
//! Load pattern: hundreds of daemons, and every call to the store is billed. A configuration of
//! hundreds of kilobytes that each daemon reads for itself saturates the link between regions,
//! and whatever else crosses the link waits behind it. Here it crosses the link once per group,
//! and is compressed inside the group.
//!
//! Ages only grow on the way: each daemon counts them from before its own call. A follower whose
//! state is too old asks the other daemons of the group in turn, and then the store itself.

mod cursor;
mod encoded;
mod message;
mod rollouts;
mod state;

pub use cursor::Cursor;
pub use encoded::Encoded;
pub use message::{ConfigUpdate, Known, Position, Reply, RolloutUpdate, VmChange, VmUpdate};
pub use state::Relay;
