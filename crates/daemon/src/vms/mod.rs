//! The VMs of the platform: their list, which lags, and preemption notices.
//!
//! One daemon of a data centre reads the list from the cloud API, and the others pull it
//! from that daemon when it has changed. Two daemons read the notices and publish them as
//! urgent facts.

mod message;
mod notices;
mod reader;

pub use message::{LIST, Query};
pub use notices::{Channels, Notices};
pub use reader::Reader;

/// duty of reading the list and the notices
pub const DUTY: &str = "vms";
