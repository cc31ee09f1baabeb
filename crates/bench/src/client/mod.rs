//! HTTP client for daemons: completions with reattachment, calls of plain services, and the
//! text expected of the engine stand-in.

mod caller;
mod error;
mod events;
mod request;
mod response;
mod stream;

pub use caller::Client;
pub use error::Error;
pub use events::{Event, Events};
pub use request::Request;
pub use response::{Completion, Response};
pub use stream::{Step, Stream};
