//! Messages by which a daemon pulls a revision from another one.

use macro_rules_attribute::apply;
use schema::message;
use schema::objects::Edit;
use store::config::Delta;

/// method that pulls a revision
pub const PULL: &str = "config_pull";

/// asks for the newest revision
#[apply(message!)]
pub struct Pull {
    /// revision that the caller has; 0 for none
    pub have: u64,
}

/// the newest revision
#[apply(message!)]
pub enum Pulled {
    /// the caller has it
    Nothing,
    /// changes from what the caller has, oldest first
    Changes(Vec<Delta>),
    /// the whole body
    Body(Body),
}

/// a whole revision
#[apply(message!)]
pub struct Body {
    /// number, author and time of the change
    pub edit: Edit,
    /// the declaration
    pub document: serde_json::Value,
}
