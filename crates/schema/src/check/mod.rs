//! Checks that a schema can't express: references, unique names, ranges.
//!
//! A check reports every fault at once, each with its path in the document, so
//! that an operator mends a file in one go.

mod client;
mod declaration;
mod fault;
mod report;
mod rule;
mod settings;

pub use client::client;
pub use declaration::{MAX_BYTES, declaration};
pub use fault::Fault;
pub use rule::MAX_NAME;
pub use settings::settings;
