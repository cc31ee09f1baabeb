//! The stages of a process's life.

use macro_rules_attribute::apply;
use schema::value;

/// where a process is between its start and its end
#[apply(value!)]
pub enum Stage {
    /// takes requests
    Serving,
    /// finishes what it has; the balancer is to send nobody any more
    Leaving,
}
