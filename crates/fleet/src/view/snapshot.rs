//! What is known at one moment.

use schema::cloud::Vm;

use super::demand::Load;
use super::place::Place;

/// whether the platform's store answers, and with it the lease
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Store {
    /// it answers
    Reachable,
    /// it does not; nothing may be removed
    Out,
}

/// what is known of one service's VMs at one moment
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// name of the service
    pub service: &'a str,
    /// VMs of the cloud's list that belong to upstreams of the service
    pub vms: &'a [Vm],
    /// where VMs of the service can be started
    pub places: &'a [Place],
    /// requests on each VM
    pub loads: &'a [Load],
    /// whether the store answers
    pub store: Store,
}
