use macro_rules_attribute::apply;
use route::rollout::{Evidence, State};
use schema::message;

/// what one daemon, or several, report of a roll-out in progress
#[apply(message!)]
#[derive(Default)]
pub struct Progress {
    /// name of the object with the request
    pub name: String,
    /// id of the request
    pub id: u64,
    /// number of the revision at which it was requested
    pub request: u64,
    /// whether that number is known for certain
    pub is_certain: bool,
    /// time since the request, milliseconds
    pub elapsed_ms: u64,
    /// number of daemons that this is about
    pub daemons: u32,
    /// number of those that may still send new requests to the old version
    pub sending: u32,
    /// requests in flight at the old version that must not be interrupted
    pub bound: u64,
    /// requests in flight there that may be sent again
    pub repeatable: u64,
    /// time since the sender knew the state of most daemons, milliseconds
    pub age_ms: u64,
    /// responses of both versions, or those of the last seconds
    pub evidence: Evidence,
}

/// a version of a service that gets no requests
#[apply(message!)]
#[derive(Eq)]
pub struct Stop {
    /// the service
    pub service: String,
    /// the version
    pub version: String,
    /// id of the request to move to it
    pub id: u64,
    /// generation of the store in which that request was last read
    pub generation: u64,
    /// number of the revision at which that was requested
    pub request: u64,
    /// whether it is known to be bad, otherwise the request was withdrawn or not completed in time
    pub is_bad: bool,
}

/// a roll-out in a checkpoint
#[apply(message!)]
pub struct Saved {
    /// name of the object with the request
    pub name: String,
    /// id of the request
    pub id: u64,
    /// number of the revision at which it was requested
    pub request: u64,
    /// whether that number is known for certain
    pub is_certain: bool,
    /// time of the request, milliseconds since the Unix epoch
    pub started_ms: u64,
    /// how it ended, if it did
    pub end: Option<State>,
}
