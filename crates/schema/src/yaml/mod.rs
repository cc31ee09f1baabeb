//! Parses YAML files; an error states its location and what is allowed there.

mod error;
mod merge;
mod parse;

pub use error::{Error, Location};
pub use merge::{Source, merge_files};
pub use parse::{parse, parse_declaration, parse_settings};
