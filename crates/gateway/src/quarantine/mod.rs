//! Requests and prompt parts that crash VMs: what this daemon observes, and what it exchanges with the others.
//!
//! The decisions are those of [`route::quarantine`]. A VM counts as crashed if a response breaks
//! that it had just begun, or not begun, and its port then refuses connections; a reset connection
//! or a cut link is no crash. Crashes and refutations are sent to the peers at once, and delegates
//! pass on what is new to them, in an update or in a report; each report contains what is quarantined,
//! so that a daemon that has started or was cut off learns it with the first one.

mod crash;
mod state;

pub(crate) use crash::{record_broken, record_success};
pub use state::{State, apply_evidence, apply_marks, evaluate_crashes, refusal};
