//! What operators are shown of a VM.

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
    /// it takes no new work
    pub leaving: bool,
    /// phase of its breaker
    pub breaker: Phase,
    /// own requests in flight
    pub in_flight: u32,
    /// estimated queueing time
    pub queue: Duration,
    /// age of the last report, if there was one
    pub report_age: Option<Duration>,
    /// blocks its prefix cache is believed to hold
    pub blocks: usize,
}
