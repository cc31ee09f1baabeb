//! How a request ended on this daemon.

use macro_rules_attribute::apply;
use schema::data;

use crate::fault::Fault;

/// how a request ended on this daemon
#[apply(data!)]
pub enum End {
    /// all tokens were received; holds the finish reason
    Finished(String),
    /// the request failed
    Failed(Fault),
    /// it was handed over to another daemon
    HandedOver,
    /// the caller cancelled it or disconnected
    Cancelled,
}
