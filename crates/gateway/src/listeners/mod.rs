//! Listeners for callers, readiness checks and metrics.

mod activity;
mod admin;
mod callers;
mod connection;

pub(crate) use activity::Activity;
pub use activity::BusyGuard;
pub use admin::{metrics, readiness};
pub use callers::{bind, callers};
