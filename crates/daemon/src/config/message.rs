//! Messages by which a daemon pulls a revision from another one.

use macro_rules_attribute::apply;
use schema::message;
use schema::objects::Edit;
use store::config::Delta;

/// method that pulls a revision
pub const PULL: &str = "config_pull";

/// revision number in a pull that is answered with the complete revision
pub const NO_REVISION: u64 = 0;

/// request for the newest revision
#[apply(message!)]
pub struct Pull {
    /// revision that the caller has; 0 for none
    pub have: u64,
}

/// what a caller lacks of the newest revision
#[apply(message!)]
pub enum Update {
    /// the caller is up to date
    Nothing,
    /// changes since the caller's revision, oldest first
    Changes(Vec<Delta>),
    /// the complete revision
    Body(Body),
}

/// a complete revision
#[apply(message!)]
pub struct Body {
    /// number, author and time of the change
    pub edit: Edit,
    /// the declaration
    pub document: serde_json::Value,
}
