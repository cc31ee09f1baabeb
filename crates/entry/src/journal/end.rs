//! How a request ended on this daemon.

use macro_rules_attribute::apply;
use schema::data;

use crate::fault::Fault;

/// how a request ended on this daemon
#[apply(data!)]
pub enum End {
    /// the answer is whole, for this reason
    Finished(String),
    /// the request failed
    Failed(Fault),
    /// another daemon goes on with it
    Moved,
    /// the caller cancelled it or left
    Cancelled,
}
