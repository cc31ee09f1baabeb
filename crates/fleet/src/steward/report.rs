//! What goes into a step and what comes out.

use std::collections::BTreeMap;

use schema::config::Declaration;

use crate::cloud::Error;
use crate::view::{Demand, Load, Store};

/// what a step is made from
#[derive(Debug, Clone, Copy)]
pub struct Input<'a> {
    /// configuration in force
    pub declaration: &'a Declaration,
    /// demand by service; a service without an entry keeps what it has
    pub demand: &'a BTreeMap<String, Vec<Demand>>,
    /// requests on each VM
    pub loads: &'a [Load],
    /// whether the store answers
    pub store: Store,
}

/// a call that failed
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// the VM it was for
    pub vm: String,
    /// why
    pub error: Error,
}

/// what a step did
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// VMs that the cloud started
    pub started: Vec<String>,
    /// VMs that were asked for and that the cloud did not have
    pub refused: Vec<String>,
    /// VMs that have to be told to every daemon as leaving
    pub drained: Vec<String>,
    /// VMs that were removed
    pub removed: Vec<String>,
    /// VMs of upstreams that nobody declares, left as they are
    pub unknown: Vec<String>,
    /// calls that failed in another way
    pub failed: Vec<Failure>,
    /// the permit lapsed; what was left is not done
    pub is_stopped: bool,
}
