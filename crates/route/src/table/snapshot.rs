//! The state of a VM as shown to operators.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;

use super::Vm;
use crate::retry::Phase;

/// one VM of the table
#[apply(data!)]
pub struct Row {
    /// the VM
    pub vm: Vm,
    /// whether it is draining and gets no new requests
    pub draining: bool,
    /// phase of its circuit breaker
    pub breaker: Phase,
    /// local requests in flight
    pub in_flight: u32,
    /// estimated queueing time
    pub queue: Duration,
    /// age of the last load report or level, if there was one
    pub report_age: Option<Duration>,
    /// blocks estimated to be in its prefix cache
    pub blocks: usize,
}
