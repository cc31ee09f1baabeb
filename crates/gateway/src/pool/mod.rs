//! Connections to upstream VMs, the object API and the cloud API.
//!
//! A connection carries one request at a time. What is known of a failure is kept
//! exactly: a request of which no byte was written did not run, anything after that may
//! have run.

mod fault;
mod limits;
#[allow(clippy::module_inception)]
mod pool;

pub use fault::Fault;
pub use limits::Limits;
pub(crate) use pool::cause;
pub use pool::{Exchange, Lease, Pool};
