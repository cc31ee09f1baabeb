//! Following the object API: the configuration and the upstream VMs.
//!
//! Each daemon watches for itself, so that the age of its configuration needs no one
//! else's word. A watch that fails for any reason is followed by a list: what happened
//! meanwhile may have left the history.

mod config;
mod pace;
mod vms;

pub use config::config;
pub use vms::vms;
