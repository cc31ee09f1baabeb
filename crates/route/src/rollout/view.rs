use std::time::Duration;

use macro_rules_attribute::apply;
use schema::{data, value};

use super::evidence::Evidence;

/// what a daemon knows of a roll-out
#[apply(data!)]
#[derive(Copy)]
pub struct View<'a> {
    /// time since the request
    pub elapsed: Duration,
    /// sum of the evidence of all daemons
    pub evidence: &'a Evidence,
    /// VMs of the old version that are listed and not known to refuse connections
    pub old_vms: usize,
    /// VMs of the new version, likewise
    pub target_vms: usize,
    /// canary VMs in all zones; see [`canaries`](super::canaries)
    pub canary_vms: usize,
    /// what is left at the old version
    pub remaining: Remaining,
    /// time since the state of the roll-out was confirmed
    pub age: Duration,
    /// whether this daemon knows a stop of this request
    pub is_stopped: bool,
}

/// what is left at the old version over all daemons
#[apply(value!)]
#[derive(Default)]
pub struct Remaining {
    /// daemons that may still send it new requests, as their latest reports say
    pub sending: u32,
    /// daemons without a current report, that are not known to have ended
    pub silent: u32,
    /// requests in flight that must not be interrupted: streams that have begun, and unsafe requests
    pub bound: u64,
    /// requests in flight that may be sent again at the new version
    pub repeatable: u64,
}
