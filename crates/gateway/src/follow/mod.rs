//! Watches of the object API: the configuration and the upstream VMs.
//!
//! Every daemon has its own watches, most of them long: two daemons of a zone poll often and
//! confirm the configuration's freshness to their peers, and one of these sends VM changes to
//! the peers of its zone. A daemon that receives nothing from its peers relies on its own
//! watches. A watch that fails for any reason is followed by a list, since changes made in
//! between may no longer be in the store's history.

mod backoff;
mod change;
mod config;
mod vms;

pub use change::{Change, Revisions};
pub use config::config;
pub use vms::{apply_changes, vms};
