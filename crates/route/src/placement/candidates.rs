use std::time::Duration;

use super::candidate::{Context, DELAYED_REQUESTS, Estimate};
use super::cost::{order, tolerance};
use super::entry::Entry;
use super::levels::Level;
use super::load::Load;
use super::request::{Fetch, Pick};

/// a VM that may be chosen, and what that depends on
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    pub entry: &'a Entry,
    pub load: Load,
    pub estimate: Estimate,
    /// wait for other requests when loads were reported
    pub reported_wait: Duration,
    /// time by which it is preferred to others
    pub bonus: Duration,
    /// whether it is used only if there is no other
    pub is_last_resort: bool,
}

/// the VM selected for a request
#[derive(Debug)]
pub(super) enum Selection<'a> {
    /// one within the limit
    InTime(Candidate<'a>),
    /// the one that responds first, as none is within the limit
    Late(Candidate<'a>),
}

impl Candidate<'_> {
    /// this VM as the chosen one
    pub fn pick(&self, fetch: Option<Fetch>) -> Pick {
        self.estimate.pick(self.entry, &self.load, fetch)
    }
}

impl Context<'_> {
    /// selects a VM: the one of the least cost among those within the limit, or one that is about as
    /// good if the reported loads are old; none if there is no VM
    ///
    /// Load pattern: VMs in one region are lost. Its daemons find the VM of the least cost over the limit,
    /// and those of the other region within it, yet at a higher cost by the price of the link, a
    /// preference or the spread. So a VM within the limit is selected before one beyond it, whatever its
    /// cost; otherwise one region refuses what the other one could serve.
    pub fn select<'a>(
        &self,
        candidates: Vec<Candidate<'a>>,
        level: Option<Level>,
    ) -> Option<Selection<'a>> {
        let limit = self.request.time_limit;
        let has_other = candidates.iter().any(|vm| !vm.is_last_resort);
        let usable = candidates
            .into_iter()
            .filter(|vm| !(has_other && vm.is_last_resort));
        let (in_time, late): (Vec<Candidate<'a>>, Vec<Candidate<'a>>) =
            usable.partition(|vm| limit.allows(vm.estimate.expected, vm.estimate.unloaded));
        if in_time.is_empty() {
            let soonest = late.into_iter().min_by_key(|vm| vm.estimate.expected);
            return soonest.map(Selection::Late);
        }
        let Some(level) = level else {
            let cheapest = in_time
                .into_iter()
                .min_by_key(|vm| self.cost(vm.entry, &vm.estimate).saturating_sub(vm.bonus));
            return cheapest.map(Selection::InTime);
        };
        let cost = |vm: &Candidate<'a>| {
            let cost = self.level_cost(vm, &level);
            cost.saturating_sub(vm.bonus * (1 + DELAYED_REQUESTS))
        };
        let least = in_time.iter().map(cost).min()?;
        let longest = least + tolerance(&self.state.learner.timing());
        let equivalent = in_time.into_iter().filter(|vm| cost(vm) <= longest);
        let order = |vm: &Candidate<'a>| {
            let room = level.room(vm.reported_wait);
            order(&vm.entry.member.id, self.request, room)
        };
        let chosen = equivalent.min_by(|one, other| order(one).total_cmp(&order(other)));
        chosen.map(Selection::InTime)
    }
}
