//! Handling of a caller's request: admission, choice of a VM, attempts, response.
//!
//! [`handle`] admits or rejects a request; [`plain`] and [`stream`] send it to VMs and pass
//! the response on. Once no further attempt may follow, the request fails at once. The status
//! of a response that the gateway generates follows the verdict over all attempts: 429 and 503
//! only if none of them ran the request.

mod admission;
mod attempt;
mod body;
mod choose;
mod deadline;
mod events;
mod failure;
mod handle;
mod in_flight;
mod plain;
mod relay;
mod request;
mod stream;
mod vm_stream;

pub use body::{Body, Chunk, Truncated};
pub(crate) use deadline::Deadline;
pub use events::EventBuffer;
pub use failure::{Failure, Reason};
pub use handle::handle;
pub(crate) use request::Request;
