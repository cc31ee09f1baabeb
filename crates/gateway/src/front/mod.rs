//! Callers' connections, and the addresses for readiness and metrics.

mod busy;
mod connection;
mod listener;
mod side;

pub use busy::Busy;
pub use listener::{bind, serve};
pub use side::{metrics, ready};
