//! Messages by which a daemon pulls the list of VMs from another one.

use macro_rules_attribute::apply;
use schema::cloud::List;
use schema::message;

/// method that pulls the list
pub const LIST: &str = "vms_list";

/// request for the list unless the caller has it
#[apply(message!)]
pub struct Query {
    /// hash of the list that the caller has
    pub have: u64,
}

/// the list, left out if the caller has it
#[apply(message!)]
pub struct Listing {
    /// hash of the list
    pub hash: u64,
    /// the list
    pub list: Option<List>,
}
