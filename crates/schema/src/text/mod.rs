//! Reads YAML files; a mistake is reported with its place and what is allowed.

mod error;
mod part;
mod read;

pub use error::{Error, Place};
pub use part::{Source, parts};
pub use read::{declaration, read, settings};
