//! Input and result of a step.

use std::collections::BTreeMap;

use schema::config::Declaration;

use crate::cloud::Error;
use crate::view::{Demand, Load, StoreStatus};

/// input of a step
#[derive(Debug, Clone, Copy)]
pub struct Input<'a> {
    /// configuration in force
    pub declaration: &'a Declaration,
    /// demand by service; for a service without an entry, its last known demand applies
    pub demand: &'a BTreeMap<String, Vec<Demand>>,
    /// load of each VM that reported it
    pub loads: &'a [Load],
    /// whether the store can be reached
    pub store: StoreStatus,
}

/// a call that failed
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// VM that the call was for
    pub vm: String,
    /// cause
    pub error: Error,
}

/// result of a step
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// VMs whose start the cloud accepted
    pub started: Vec<String>,
    /// VMs that the cloud refused to start for lack of capacity
    pub refused: Vec<String>,
    /// VMs to drain; the caller has to announce them to all daemons
    pub drained: Vec<String>,
    /// VMs whose removal the cloud accepted
    pub removed: Vec<String>,
    /// VMs of undeclared upstreams, which are left alone
    pub unknown: Vec<String>,
    /// calls that failed for another reason
    pub failed: Vec<Failure>,
    /// the permit became invalid before all actions were executed
    pub is_stopped: bool,
}
