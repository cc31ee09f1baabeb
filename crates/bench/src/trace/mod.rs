//! Traces of calls: the file format and a seeded generator for both deployments.
//!
//! A trace is a file of JSON lines, a [`schema::trace::Header`] first and one
//! [`schema::trace::Call`] in each further line, ordered by arrival time.

mod archive;
mod arrival;
mod file;
mod generate;
mod options;
mod sampler;
mod thistlewood;

pub use file::Trace;
pub use generate::{Workload, generate};
pub use options::{Options, options};
