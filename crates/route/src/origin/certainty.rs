use std::time::Duration;

use macro_rules_attribute::apply;
use schema::value;
use tokio::time::Instant;

/// time from the start of a VM's process until its new entry is in the store
const ENTRY_TIME: Duration = Duration::from_secs(1);

/// fraction of the time in which requests may still reach a draining VM; the list of a daemon that
/// reaches the store or its peers is not older
const MAX_LIST_AGE_FRACTION: f64 = 0.7;

/// whether the process at the other end of a connection is the one whose version is listed
///
/// A VM may start again under its id with another version. Its connections end with its process, so that a
/// connection that was open before the list was confirmed leads to the listed process, however old the
/// list has become since. For a later one the list proves nothing.
///
/// Load pattern: a release restarts VMs under their ids while the store is out, or while this daemon is
/// cut off or stands still, and the streams that break meanwhile go on at other VMs.
#[apply(value!)]
pub enum Certainty {
    /// it is the listed process
    Certain,
    /// a newer entry would arrive soon
    Pending,
    /// a newer entry would not arrive, as the list is not being confirmed
    Unknown,
}

/// how far the list of VMs tells the process behind a connection; `drain` is the time in which requests
/// may still reach a draining VM
pub fn certainty(
    opened_at: Instant,
    confirmed_at: Option<Instant>,
    now: Instant,
    drain: Duration,
) -> Certainty {
    let Some(confirmed_at) = confirmed_at else {
        return Certainty::Unknown;
    };
    if opened_at + ENTRY_TIME <= confirmed_at {
        return Certainty::Certain;
    }
    if now.saturating_duration_since(confirmed_at) <= drain.mul_f64(MAX_LIST_AGE_FRACTION) {
        return Certainty::Pending;
    }
    Certainty::Unknown
}
