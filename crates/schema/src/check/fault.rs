//! A fault of a document.

use std::fmt;

use macro_rules_attribute::apply;

use crate::data;

/// an invalid value of a document, with its path and what is allowed there
#[apply(data!)]
pub struct Fault {
    /// path of the value, such as `upstreams[1].slots`; `.` for the whole document
    pub path: String,
    /// the invalid value, or why it is invalid
    pub problem: String,
    /// the allowed values
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}; allowed: {}",
            self.path, self.problem, self.allowed
        )
    }
}

impl std::error::Error for Fault {}
