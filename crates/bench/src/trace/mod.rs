//! Traces of calls: their file format and seeded ones for both deployments.
//!
//! A trace is a file of JSON lines, a [`schema::trace::Header`] first and one
//! [`schema::trace::Call`] in each further line, in the order of arrival.

mod archive;
mod arrival;
mod file;
mod make;
mod mix;
mod options;
mod thistlewood;

pub use file::Trace;
pub use make::{Recipe, make};
pub use options::{Options, options};
