//! HTTP client for daemons: completions with reattachment, calls of plain services, and the
//! text expected of the engine stand-in.

mod answer;
mod caller;
mod events;
mod fault;
mod request;
mod stream;

pub use answer::{Answer, Booking};
pub use caller::Client;
pub use events::{Event, Events};
pub use fault::Fault;
pub use request::Request;
pub use stream::{Step, Stream};
