//! HTTP/1 server for programs whose request handlers block.
//!
//! One thread with an event loop accepts connections and does all socket I/O. It calls the
//! handler with each request; the handler must not block and passes the request on to
//! another thread. That thread reads the body and sends the response, at once or in chunks.
//! An idle connection occupies no thread, so connections that stay open can't keep others
//! from being served.

mod body;
mod connection;
mod fallback;
mod head;
mod listener;
mod request;
mod transport;
mod writer;

pub use fallback::Fallback;
pub use head::Malformed;
pub use listener::{Listener, Server, Timeouts};
pub use request::{BodyError, Request};
pub use writer::Writer;
