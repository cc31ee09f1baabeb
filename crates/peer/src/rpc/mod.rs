//! Calls between daemons over persistent WebSocket connections.
//!
//! Each daemon serves one address ([`Server`]) and keeps one connection to every daemon that
//! it calls ([`Pool`]). Both ends limit the size of a message and count the bytes on the
//! socket. When a call times out and its connection returned no response to any call
//! meanwhile, the pool drops the connection and the next call opens a new one. Calls in
//! flight on the old one may still complete there.

mod connection;
mod error;
mod guard;
mod meter;
mod pool;
mod server;

pub use error::CallError;
pub use guard::{Keys, OPERATOR_PREFIX, UNAUTHORISED_CODE};
pub use meter::Meter;
pub use pool::Pool;
pub use server::{MAX_PENDING, Server};

/// largest size of a message, bytes
pub const MAX_MESSAGE_BYTES: u32 = 4 * 1024 * 1024;
