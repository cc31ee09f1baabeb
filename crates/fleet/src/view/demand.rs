//! Demand of callers and load of VMs.

use macro_rules_attribute::apply;

/// requests for one service from one region
#[apply(schema::data!)]
pub struct Demand {
    /// region of the callers
    pub region: String,
    /// requests in flight, on all daemons
    pub in_flight: u32,
    /// requests waiting for an upstream
    pub queued: u32,
}

/// load of one VM, as the VM itself reports it
#[apply(schema::data!)]
pub struct Load {
    /// name of the VM
    pub vm: String,
    /// requests running or waiting on the VM, from all daemons
    pub in_flight: u32,
    /// whether the daemons have stopped sending it new requests
    pub draining: bool,
    /// whether it responds to no daemon although the cloud lists it as live
    pub unresponsive: bool,
}
