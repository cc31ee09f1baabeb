//! A plain service that records every call it runs and never deduplicates.

mod options;
mod server;

pub(crate) use options::parser;
pub use options::{Builder, Options};
pub use server::{Answer, Execution, Faults, Server};
