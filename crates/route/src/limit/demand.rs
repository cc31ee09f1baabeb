//! Demand of a workspace, as reported between daemons.

use macro_rules_attribute::apply;
use schema::message;

/// demand of a workspace at one daemon, refused requests included
#[apply(message!)]
pub struct Demand {
    /// name of the workspace
    pub workspace: String,
    /// prompt and expected generated tokens per second
    pub tokens_per_second: u64,
    /// requests in flight, including those that would be if they had not been refused
    pub concurrent: u32,
}
