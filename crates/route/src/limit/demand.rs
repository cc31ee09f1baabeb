//! Demand of a workspace, as daemons tell each other.

use macro_rules_attribute::apply;
use schema::message;

/// what a workspace asks of a daemon, refused requests included
#[apply(message!)]
pub struct Demand {
    /// name of the workspace
    pub workspace: String,
    /// prompt and expected generated tokens per second
    pub tokens_per_second: u64,
    /// requests that are or would be in flight
    pub concurrent: u32,
}
