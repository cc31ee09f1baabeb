//! Listeners for callers, readiness checks and metrics.

mod activity;
mod admin;
mod callers;
mod connection;

pub use activity::BusyGuard;
pub use admin::{metrics, readiness};
pub use callers::{bind, callers};
