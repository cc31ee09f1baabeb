//! Errors of YAML parsing.

use std::fmt;

use macro_rules_attribute::apply;

use crate::data;

/// a location in a file
#[apply(data!)]
pub struct Location {
    /// name of the file
    pub file: String,
    /// line and column, from 1; none if the error concerns the whole file
    pub position: Option<(usize, usize)>,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.position {
            Some((line, column)) => write!(f, "{}:{line}:{column}", self.file),
            None => write!(f, "{}", self.file),
        }
    }
}

/// why a file could not be parsed
#[apply(data!)]
pub enum Error {
    /// the file is not valid YAML
    Syntax {
        /// where the error was found
        location: Location,
        /// description of the error
        message: String,
    },
    /// a key or value is unknown, missing, repeated or of the wrong type
    Value {
        /// where the error was found
        location: Location,
        /// path in the document, such as `upstreams[1].slots`
        path: String,
        /// description of the error and of the allowed values
        message: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Syntax { location, message } => write!(f, "{location}: {message}"),
            Error::Value {
                location,
                path,
                message,
            } => write!(f, "{location}: {path}: {message}"),
        }
    }
}

impl std::error::Error for Error {}
