//! Actions of a plan.

use macro_rules_attribute::apply;

use crate::view::Pool;

/// change to the VMs of a service
#[apply(schema::data!)]
pub enum Action {
    /// start a VM
    Start(Start),
    /// send no new requests to the VM of this name
    Drain(String),
    /// remove the VM of this name, which is idle or unresponsive
    Remove(String),
}

/// a VM to start
#[apply(schema::data!)]
pub struct Start {
    /// name; every planner derives the same one
    pub name: String,
    /// pool to start it in
    pub pool: Pool,
}
