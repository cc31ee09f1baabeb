use std::time::Duration;

use super::request::{Pick, TimeLimit};

/// order in which the VMs of a service are considered for a request, the least first
///
/// Load pattern: VMs in one region are lost. Its daemons find their own VMs over the limit, and
/// those of the other region within it, yet at a higher cost by the price of the link, a
/// preference or the spread. A VM within the limit precedes one beyond it, whatever its cost;
/// otherwise one region refuses what the other one could serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    is_last_resort: bool,
    is_late: bool,
    /// cost of a VM within the limit, expected time of one beyond it
    order: Duration,
}

impl Rank {
    /// the rank of a VM with its cost
    pub fn new(is_last_resort: bool, pick: &Pick, cost: Duration, limit: &TimeLimit) -> Rank {
        let is_late = !limit.allows(pick);
        Rank {
            is_last_resort,
            is_late,
            order: if is_late { pick.expected } else { cost },
        }
    }

    /// whether the VM is expected to respond within the limit
    pub fn is_in_time(&self) -> bool {
        !self.is_late
    }
}
