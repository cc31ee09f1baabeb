//! The VMs of the platform: their list, which lags, and the reclaim notices.
//!
//! One daemon of a data centre reads them from the cloud API. The others pull
//! the list from it when it has changed; notices travel as urgent facts.

mod message;
mod notices;
mod reader;

pub use message::{Ask, LIST};
pub use notices::{Notices, Outlets};
pub use reader::Reader;

/// duty of reading the list and the notices
pub const DUTY: &str = "vms";
