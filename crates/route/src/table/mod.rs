//! The shared table of upstream VMs and the choice among them.
//!
//! The estimated time to the first token is the queue of the last report, plus the local
//! requests sent since then, plus those assumed of other daemons, plus the prefill of the
//! tokens that are not cached. A few candidates are compared: the VMs estimated to cache
//! the longest prefix, the preferred VMs of its prefixes (by rendezvous hashing), and random
//! ones, so that daemons with the same view of the fleet do not all send to the same VM.
//!
//! Lock order: the view (all VMs), then the statistics of one service, then the state of
//! one VM. The locks of two services, or of two VMs, are never held at the same time.

mod backlog;
mod cache;
mod candidates;
mod choice;
mod cost;
mod endpoint;
mod permit;
mod pick;
mod rate;
mod request;
mod snapshot;
mod state;
mod stated;
mod stats;
#[allow(clippy::module_inception)]
mod table;
mod view;
mod vm;

pub use permit::Permit;
pub use request::{Outcome, Pick, Request};
pub use snapshot::Row;
pub use table::Table;
pub use vm::{Location, Tier, Vm, fixed_vms, platform_vms};
