//! Which VMs to drain.

use std::cmp::Reverse;

use schema::cloud::Market;

use super::action::Action;
use super::mix::Mix;
use super::need::Need;
use super::stock::{self, Stock, Unit};
use crate::view::View;

/// share of the VMs that is drained in one plan, as a divisor
const DRAIN_SHARE: usize = 5;

/// what is needed to choose VMs to drain
#[derive(Debug)]
pub(super) struct Shrink<'a> {
    pub(super) view: &'a View<'a>,
    pub(super) stock: &'a Stock<'a>,
    pub(super) mix: &'a Mix,
    pub(super) need: &'a Need,
}

impl Shrink<'_> {
    /// drains of VMs that the mix has no use for; `most` VMs may run
    pub(super) fn drains(&self, most: u32, may_shrink: bool) -> Vec<Action> {
        let above_ceiling = self.stock.units.len().saturating_sub(most as usize);
        let unneeded = if may_shrink { self.unneeded() } else { 0 };
        let mut actions = Vec::new();
        if above_ceiling.max(unneeded) > 0 {
            actions.extend(self.stock.strays.iter().map(|name| drain(name)));
        }
        let mut surplus = self.surplus();
        let mut left: Vec<u32> = self.live_by_place();
        let mut drained = 0;
        for unit in self.candidates() {
            let forced = drained < above_ceiling;
            if !forced && drained >= unneeded {
                break;
            }
            if surplus[unit.place] == 0 || !(forced || self.is_covered_without(unit, &left)) {
                continue;
            }
            surplus[unit.place] -= 1;
            left[unit.place] -= u32::from(unit.live);
            drained += 1;
            actions.push(drain(unit.name));
        }
        actions
    }

    /// VMs that serve beyond the mix; what replaces one has to be live before it goes
    fn unneeded(&self) -> usize {
        let beyond = self.stock.live().saturating_sub(self.mix.total as usize);
        beyond.min((self.stock.units.len() / DRAIN_SHARE).max(1))
    }

    fn surplus(&self) -> Vec<u32> {
        let have = self.stock.by_place(self.view.places.len());
        have.iter()
            .zip(&self.mix.counts)
            .map(|(have, want)| have.saturating_sub(*want))
            .collect()
    }

    /// own VMs: first those that do not serve yet, then the least busy
    fn candidates(&self) -> Vec<&Unit<'_>> {
        let in_flight = stock::in_flight(self.view);
        let mut units: Vec<&Unit<'_>> = self.stock.units.iter().filter(|unit| unit.own).collect();
        units.sort_by_key(|unit| {
            let busy = in_flight.get(unit.name).copied().unwrap_or(u32::MAX);
            let slot = stock::slot(self.view.service, unit.name).unwrap_or_default();
            (unit.live, busy, Reverse(slot))
        });
        units
    }

    fn live_by_place(&self) -> Vec<u32> {
        let mut counts = vec![0; self.view.places.len()];
        for unit in self.stock.units.iter().filter(|unit| unit.live) {
            counts[unit.place] += 1;
        }
        counts
    }

    /// whether the rest still bears the loss of a zone, or bears it no worse than before
    fn is_covered_without(&self, unit: &Unit<'_>, left: &[u32]) -> bool {
        let before = self.cover(left);
        let mut rest = left.to_vec();
        rest[unit.place] -= u32::from(unit.live);
        self.cover(&rest) >= before.min(self.need.slots)
    }

    /// slots left after the loss of the zone that has most reclaimable ones
    fn cover(&self, counts: &[u32]) -> u64 {
        let places = self.view.places;
        let slots = |index: usize| u64::from(counts[index]) * u64::from(places[index].slots);
        let mut worst = 0;
        for place in places {
            let at_risk = (0..places.len()).filter(|index| {
                places[*index].zone == place.zone && places[*index].market == Market::Reclaimable
            });
            worst = at_risk.map(slots).sum::<u64>().max(worst);
        }
        (0..places.len()).map(slots).sum::<u64>() - worst
    }
}

fn drain(name: &str) -> Action {
    Action::Drain(name.to_owned())
}
