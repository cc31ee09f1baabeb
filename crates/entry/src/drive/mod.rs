//! Attempts on upstreams for completions.
//!
//! A [`Driver`] thread takes a request from the queue and fills its journal:
//! it chooses an upstream VM, reads its stream, and reconnects, moves or gives
//! up as the rules of `route` say.

mod attempt;
mod driver;
mod leaving;
mod lost;
mod run;

pub use driver::{Driver, Job};
pub(crate) use lost::{fault, retry_failure};
