//! One fault of a document.

use std::fmt;

use macro_rules_attribute::apply;

use crate::data;

/// what is wrong at one place, and what would be right
#[apply(data!)]
pub struct Fault {
    /// place, such as `upstreams[1].slots`
    pub path: String,
    /// what stands there
    pub wrong: String,
    /// what may stand there
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}; allowed: {}",
            self.path, self.wrong, self.allowed
        )
    }
}

impl std::error::Error for Fault {}
