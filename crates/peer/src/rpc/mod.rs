//! Calls between daemons over persistent WebSocket connections.
//!
//! Each daemon serves one address ([`Server`]) and keeps one connection to every
//! daemon that it calls ([`Pool`]). Both sides bound the size of a message and count
//! the bytes on the socket. A connection on which nothing came back during a call that
//! timed out is given up and the next call opens a new one; calls that still wait on
//! the old one may end there.

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
pub use server::Server;

/// largest message, bytes
pub const MESSAGE_BYTES: u32 = 4 * 1024 * 1024;
