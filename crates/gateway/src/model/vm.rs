use std::net::SocketAddr;

use macro_rules_attribute::apply;
use schema::message;

/// state that a VM reports in its entry
#[apply(message!)]
#[derive(Copy, Eq)]
pub enum Health {
    /// accepts requests
    Ready,
    /// finishes its requests before it terminates
    Draining,
}

/// an upstream VM as registered in the object API
#[apply(message!)]
pub struct Vm {
    /// its instance id
    pub id: String,
    /// start time since the Unix epoch; differs after a restart under the same id
    #[serde(rename = "born")]
    pub started_at_ms: u64,
    /// its service
    pub service: String,
    /// version of its software; empty if it states none
    #[serde(default)]
    pub version: String,
    /// address for requests
    pub address: SocketAddr,
    /// its zone
    pub zone: String,
    /// requests that it runs concurrently
    pub slots: u32,
    /// reported state
    pub health: Health,
    /// whether the cloud may reclaim it
    pub reclaimable: bool,
}
