//! What upstream VMs state about themselves, from the response to one daemon to all daemons.
//!
//! [`route::notice`] merges the statements. What is new is sent to the peers at once, and
//! delegates pass on what is new to them, in an update or in a report; each report contains the
//! statements that are in force, so that a daemon that has started or was cut off learns them with
//! the first one. A drain excludes the VM ([`crate::departure`]), a back-off closes it to the
//! daemon that was refused and lets the others use it less, and a limit is divided among the
//! daemons that may send to it.

mod exchange;
mod limit;
mod state;

pub use exchange::{apply, record};
pub use state::State;
