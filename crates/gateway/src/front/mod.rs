//! Listeners for callers, readiness checks and metrics.

mod activity;
mod admin;
mod connection;
mod listener;

pub use activity::BusyGuard;
pub use admin::{metrics, ready};
pub use listener::{bind, serve};
