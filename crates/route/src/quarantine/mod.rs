//! Requests, and parts of prompts, that crash every VM which begins a response to them.
//!
//! Load pattern: requests with one part in common arrive at all daemons, and each of them ends the
//! VM that begins its response, then the VM that it is sent to next. The VM's other requests break
//! at the same moment. Sound requests come from the same callers and share all other parts.
//!
//! Load pattern: one request, with or without a prompt, comes again and again under new ids and ends
//! each VM that begins to run it. It is known by its fingerprint, a hash of path, caller and body.
//!
//! A crash is recorded with the parts of all requests that a VM had just begun when it ended, over
//! all daemons. A part that is in enough crashes and in no response since is quarantined, and
//! requests with it are refused. The part that explains most crashes is taken first, and its
//! crashes count for no other part, since those only shared a VM with it. A response that was begun with
//! a part and did not break refutes the part, and crashes before that do not count.
//!
//! A whole request is quarantined after fewer crashes, as that concerns no other one. If several were at
//! the same crashes, the decision waits for a crash at which only one of them was. A part is the cause
//! only if its crashes would have several causes otherwise, so that the parts of one repeated request are
//! not refused to all.
//!
//! Crashes, successes and quarantines are merged from all daemons in any order with the same
//! result. Times are milliseconds since the Unix epoch, by the daemons' common estimate.

mod change;
mod evidence;
mod explanation;
#[allow(clippy::module_inception)]
mod quarantine;
mod times;

pub use change::Change;
pub use evidence::{Crash, Evidence, Mark};
pub use quarantine::{BEGIN_TIME, QUARANTINE_TIME, Quarantine, SETTLE_TIME};
