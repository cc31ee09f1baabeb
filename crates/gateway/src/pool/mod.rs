//! Connections to upstream VMs, the object API and the cloud API.
//!
//! A connection carries one request at a time. A failure states exactly how far the request
//! got: one of which no byte was written did not run, any other may have run.

mod body;
mod error;
mod framing;
#[allow(clippy::module_inception)]
mod pool;
mod timeouts;
mod transport;

pub use body::Body;
pub use error::Error;
pub use framing::Framing;
pub(crate) use pool::describe;
pub use pool::{Connection, Exchange, Pool};
pub use timeouts::Timeouts;
