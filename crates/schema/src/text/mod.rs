//! Reads YAML files; a mistake is reported with its place and what is allowed.

mod error;
mod read;

pub use error::{Error, Place};
pub use read::{declaration, read, settings};
