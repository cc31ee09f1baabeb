//! Load, as the daemons report it.

use macro_rules_attribute::apply;

/// requests for one service that came up in one region
#[apply(schema::data!)]
pub struct Demand {
    /// region of the callers
    pub region: String,
    /// requests that run, on whichever daemon
    pub in_flight: u32,
    /// requests that wait for an upstream
    pub queued: u32,
}

/// requests on one VM, as the VM itself reports them
#[apply(schema::data!)]
pub struct Load {
    /// name of the VM
    pub vm: String,
    /// requests that run or wait on it, from all daemons
    pub in_flight: u32,
    /// whether daemons know that it gets no new work
    pub draining: bool,
    /// whether it answers nobody, though the cloud shows it as live
    pub broken: bool,
}
