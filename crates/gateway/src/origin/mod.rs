//! Versions at which streams began: what this daemon records, asks others for and restores.
//!
//! The rules are those of [`route::origin`]. A daemon records each stream before its first event is
//! passed on, and sends its records to the watcher and the standby of its group, which also answer
//! daemons that do not know a stream. The watcher writes them to the object API several times a second, so
//! that they outlast all daemons. A daemon that starts reads those of its zone before it serves, and again
//! while neither the watcher nor the standby answers.

mod confirm;
mod find;
mod keep;
mod restore;
mod share;
mod state;

pub(crate) use confirm::Unconfirmed;
pub use find::find;
pub use keep::write_records;
pub use restore::{read_on_demand, restore};
pub use share::send_records;
pub(crate) use share::{ASK_METHOD, RECORDS_METHOD};
pub use state::State;

/// kind of the objects that hold the records, one for each group of daemons
const KIND: &str = "streams";
