//! Observed state of a service and the store at one moment.

use schema::cloud::Vm;

use super::demand::Load;
use super::pool::Pool;

/// whether the platform's store, which holds the lease, can be reached
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreStatus {
    /// the last call to it succeeded
    Reachable,
    /// lost VMs may be replaced, but none may be removed
    Unreachable,
}

/// observed state of one service's VMs
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// name of the service
    pub service: &'a str,
    /// listed VMs that belong to upstreams of the service
    pub vms: &'a [Vm],
    /// pools in which VMs of the service can be started
    pub pools: &'a [Pool],
    /// load of each VM that reported it
    pub loads: &'a [Load],
    /// whether the store can be reached
    pub store: StoreStatus,
}
