//! A plain HTTP service that executes and records every call, without deduplication.

mod options;
mod server;

pub(crate) use options::parser;
pub use options::{Builder, Options};
pub use server::{Execution, Faults, Response, Server};
