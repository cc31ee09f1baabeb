//! Parses YAML files; an error states its location and what is allowed there.

mod error;
mod part;
mod read;

pub use error::{Error, Place};
pub use part::{Source, parts};
pub use read::{declaration, read, settings};
