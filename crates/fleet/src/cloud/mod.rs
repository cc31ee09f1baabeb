//! Client of the cloud API: VMs, preemption notices and prices.

mod api;
mod client;
mod error;
mod transport;

pub use api::Cloud;
pub use client::Client;
pub use error::Error;
pub use transport::Timeouts;
