//! At which software version each stream began, so that it goes on at this version only.
//!
//! Versions of a service's software may serve side by side, and what two of them write doesn't fit
//! together. The version of a stream is that of the VM that sent its first event. It is known from a
//! record alone: without one, a stream must not go on, as each other source (the VMs that are
//! listed now, the VM that was asked first) may be wrong.
//!
//! Load pattern: all daemons are killed in the middle of a release, and the callers of all streams
//! come back within a second. Records are therefore written to the object API in batches that
//! need no answer before the stream's first event is passed on: a record that is lost with its daemon
//! costs one refusal. They lapse with the time for which the caller waits.

mod batch;
mod certainty;
mod table;

pub use batch::{Batch, Group, Ids};
pub use certainty::{Certainty, certainty};
pub use table::Table;

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::message;
use xxhash_rust::xxh3::xxh3_64;

/// bits of a stream's id that are kept: two of 100,000 streams are taken for each other once in
/// 50,000 times
const ID_BITS: u32 = 48;

/// longest time for which a record is kept; callers that state more come back without one
pub const MAX_TIME: Duration = Duration::from_secs(60);

/// service and software version of the VM that sent the first event of a stream
#[apply(message!)]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct Origin {
    /// the service
    pub service: String,
    /// the version
    pub version: String,
}

/// id of a stream, from the id of the caller's attempt that brought its first event
pub fn stream_id(first_attempt: &str) -> u64 {
    xxh3_64(first_attempt.as_bytes()) >> (u64::BITS - ID_BITS)
}
