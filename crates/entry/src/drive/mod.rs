//! Attempts on upstreams for completions.
//!
//! Each thread of the [`DriverPool`] takes a request from the queue, selects an upstream VM
//! and appends the tokens of its stream to the journal. After a failure it reconnects, switches
//! to another VM or fails the request, as [`route::retry`] decides.

mod attempt;
mod driver;
mod failure;
mod migrate;
mod run;

pub use driver::{DriverPool, Job};
pub(crate) use failure::{fault, retry_failure};
