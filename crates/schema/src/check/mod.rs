//! Checks that a JSON Schema can't express: references, unique names, ranges.
//!
//! A check reports all faults of a document at once, each with its path, so that
//! an operator can correct them in one pass.

mod client;
mod collector;
mod declaration;
mod fault;
mod rule;
mod settings;

pub use client::client;
pub use declaration::{MAX_DECLARATION_BYTES, declaration};
pub use fault::Fault;
pub use rule::MAX_NAME_BYTES;
pub use settings::settings;
