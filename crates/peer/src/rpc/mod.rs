//! Calls between daemons over persistent WebSocket connections.

mod error;

pub use error::CallError;
