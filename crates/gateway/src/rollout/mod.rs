//! Roll-outs of software versions: an operator requests that a service moves to another version, and
//! the daemons move it in time or stop the version if it is bad.
//!
//! The decisions are those of [`route::rollout`]. The watcher of a group watches the requests
//! ([`crate::follow`]) and passes them on with the other state of the store. Each daemon samples the
//! responses of both versions ([`Attempt`]), adds its evidence to its reports, and evaluates the sum of all
//! ([`evaluate`]); the result sets which versions the balancer uses. A stop is sent to the peers at once, is
//! contained in each report while it is in force, and in the checkpoint. The holder of the lease writes the
//! status ([`write_statuses`]).
//!
//! Nothing is sent or evaluated unless there is a roll-out in progress, a stop in force, or a
//! version that has just appeared.

mod active;
mod attempt;
mod entry;
mod evaluate;
mod exchange;
mod message;
mod restore;
mod source;
mod split;
mod state;
mod stops;
mod versions;
mod write;

pub use attempt::Attempt;
pub use entry::Entry;
pub use evaluate::evaluate;
pub use exchange::{apply_stops, receive};
pub use message::{Progress, Saved, Stop};
pub use state::State;
pub use write::write_statuses;
