//! Lifecycle stages of the process.

use macro_rules_attribute::apply;
use schema::value;

/// lifecycle stage of the process
#[apply(value!)]
pub enum Stage {
    /// accepts requests
    Serving,
    /// finishes requests in flight; readiness checks fail, so that the load balancer sends no
    /// new callers
    Draining,
}
