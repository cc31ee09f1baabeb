use std::time::Duration;

use super::request::{Pick, TimeLimit};

/// VMs that are considered for a request
///
/// Load pattern: VMs in one region are lost. Its daemons find the VM of the least cost over the limit,
/// and those of the other region within it, yet at a higher cost by the price of the link, a
/// preference or the spread. So a VM within the limit stands in for one beyond it, whatever its cost;
/// otherwise one region refuses what the other one could serve.
#[derive(Debug)]
pub(super) struct Candidates {
    limit: TimeLimit,
    cheapest: Option<(bool, Duration, Pick)>,
    fallback: Option<(Duration, Pick)>,
    soonest: Option<(bool, Duration, Pick)>,
}

/// a VM and what its selection depends on
#[derive(Debug)]
pub(super) struct Candidate {
    pub pick: Pick,
    /// cost, in which the expected time is included
    pub cost: Duration,
    /// whether it is used only if there is no other
    pub is_last_resort: bool,
}

impl Candidates {
    pub fn new(limit: TimeLimit) -> Candidates {
        Candidates {
            limit,
            cheapest: None,
            fallback: None,
            soonest: None,
        }
    }

    pub fn add(&mut self, candidate: Candidate) {
        let Candidate {
            pick,
            cost,
            is_last_resort,
        } = candidate;
        let may_stand_in = !is_last_resort && self.limit.allows(&pick);
        if may_stand_in && self.fallback.as_ref().is_none_or(|(best, _)| cost < *best) {
            self.fallback = Some((cost, pick.clone()));
        }
        let is_before = |best: &Option<(bool, Duration, Pick)>, order: Duration| {
            let best = best.as_ref();
            best.is_none_or(|(last, best, _)| (is_last_resort, order) < (*last, *best))
        };
        if is_before(&self.soonest, pick.expected) {
            self.soonest = Some((is_last_resort, pick.expected, pick.clone()));
        }
        if is_before(&self.cheapest, cost) {
            self.cheapest = Some((is_last_resort, cost, pick));
        }
    }

    /// the VM to use; as an error, the one that responds first if none is in time; none if there
    /// is no VM
    pub fn choose(self) -> Option<Result<Pick, Pick>> {
        let (_, _, cheapest) = self.cheapest?;
        let (_, _, soonest) = self.soonest?;
        if self.limit.allows(&cheapest) {
            return Some(Ok(cheapest));
        }
        Some(self.fallback.map_or(Err(soonest), |(_, pick)| Ok(pick)))
    }
}
