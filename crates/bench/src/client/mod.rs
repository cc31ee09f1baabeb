//! HTTP client for daemons: completions with reattachment, calls of plain services, and the
//! text expected of the engine stand-in.

mod caller;
mod events;
mod fault;
mod request;
mod response;
mod stream;

pub use caller::Client;
pub use events::{Event, Events};
pub use fault::Fault;
pub use request::Request;
pub use response::{Completion, Response};
pub use stream::{Step, Stream};
