//! Why a file could not be read.

use std::fmt;

use macro_rules_attribute::apply;

use crate::data;

/// a place in a file
#[apply(data!)]
pub struct Place {
    /// name of the file
    pub file: String,
    /// line and column, from 1; none when the mistake concerns the whole file
    pub position: Option<(usize, usize)>,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.position {
            Some((line, column)) => write!(f, "{}:{line}:{column}", self.file),
            None => write!(f, "{}", self.file),
        }
    }
}

/// why a file could not be read
#[apply(data!)]
pub enum Error {
    /// the file is not YAML
    Syntax {
        /// where
        place: Place,
        /// what is wrong
        message: String,
    },
    /// a key or value is not one that is known
    Value {
        /// where
        place: Place,
        /// path in the document, such as `upstreams[1].slots`
        path: String,
        /// what is wrong and what is allowed
        message: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Syntax { place, message } => write!(f, "{place}: {message}"),
            Error::Value {
                place,
                path,
                message,
            } => write!(f, "{place}: {path}: {message}"),
        }
    }
}

impl std::error::Error for Error {}
