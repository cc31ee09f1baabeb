//! A simulated cloud provider: VMs that can be reclaimed, preemption notices, prices and a bill.

mod control;
mod machine;
mod options;
mod server;
mod state;

pub use control::{Bill, Charge, Faults, Reclaim, Refusal, Registration};
pub(crate) use options::parser;
pub use options::{Builder, Options};
pub use server::Server;
