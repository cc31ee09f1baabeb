//! Selection of the VMs to drain.

use std::cmp::Reverse;

use schema::cloud::Market;

use super::action::Action;
use super::inventory::{self, ActiveVm, Inventory};
use super::mix::Mix;
use super::need::Need;
use crate::view::View;

/// part of the VMs that may be drained in one plan, as a divisor
const DRAIN_DIVISOR: usize = 5;

/// inputs of the selection
#[derive(Debug)]
pub(super) struct ScaleDown<'a> {
    pub(super) view: &'a View<'a>,
    pub(super) inventory: &'a Inventory<'a>,
    pub(super) mix: &'a Mix,
    pub(super) need: &'a Need,
}

impl ScaleDown<'_> {
    /// drains of VMs that the mix does not need; at most `max_vms` VMs may run
    pub(super) fn drains(&self, max_vms: u32, may_scale_down: bool) -> Vec<Action> {
        let above_ceiling = self.inventory.active.len().saturating_sub(max_vms as usize);
        let unneeded = if may_scale_down { self.unneeded() } else { 0 };
        let mut actions = Vec::new();
        if above_ceiling.max(unneeded) > 0 {
            actions.extend(self.inventory.undeclared.iter().map(|name| drain(name)));
        }
        let mut surplus = self.surplus();
        let mut live: Vec<u32> = self.live_by_pool();
        let mut drained = 0;
        for vm in self.candidates() {
            let forced = drained < above_ceiling;
            if !forced && drained >= unneeded {
                break;
            }
            if surplus[vm.pool] == 0 || !(forced || self.is_covered_without(vm, &live)) {
                continue;
            }
            surplus[vm.pool] -= 1;
            live[vm.pool] -= u32::from(vm.live);
            drained += 1;
            actions.push(drain(vm.name));
        }
        actions
    }

    /// live VMs beyond the mix, limited to a part of all VMs in one plan; those still starting
    /// don't count, so a VM is drained only once its replacement is live
    fn unneeded(&self) -> usize {
        let excess = self
            .inventory
            .live_count()
            .saturating_sub(self.mix.total as usize);
        excess.min((self.inventory.active.len() / DRAIN_DIVISOR).max(1))
    }

    fn surplus(&self) -> Vec<u32> {
        let active = self.inventory.by_pool(self.view.pools.len());
        active
            .iter()
            .zip(&self.mix.counts)
            .map(|(active, needed)| active.saturating_sub(*needed))
            .collect()
    }

    /// managed VMs in the order to drain them: those not live yet, then those with the fewest
    /// requests, then the highest slot
    fn candidates(&self) -> Vec<&ActiveVm<'_>> {
        let in_flight = inventory::in_flight(self.view);
        let mut vms: Vec<&ActiveVm<'_>> = self
            .inventory
            .active
            .iter()
            .filter(|vm| vm.managed)
            .collect();
        vms.sort_by_key(|vm| {
            let requests = in_flight.get(vm.name).copied().unwrap_or(u32::MAX);
            let slot = inventory::slot_of(self.view.service, vm.name).unwrap_or_default();
            (vm.live, requests, Reverse(slot))
        });
        vms
    }

    fn live_by_pool(&self) -> Vec<u32> {
        let mut counts = vec![0; self.view.pools.len()];
        for vm in self.inventory.active.iter().filter(|vm| vm.live) {
            counts[vm.pool] += 1;
        }
        counts
    }

    /// whether the remaining live VMs still cover the loss of a zone, or cover it no worse than
    /// before
    fn is_covered_without(&self, vm: &ActiveVm<'_>, live: &[u32]) -> bool {
        let before = self.slots_after_zone_loss(live);
        let mut remaining = live.to_vec();
        remaining[vm.pool] -= u32::from(vm.live);
        self.slots_after_zone_loss(&remaining) >= before.min(self.need.slots)
    }

    /// slots that remain after the loss of the zone with the most reclaimable slots
    fn slots_after_zone_loss(&self, counts: &[u32]) -> u64 {
        let pools = self.view.pools;
        let slots = |index: usize| u64::from(counts[index]) * u64::from(pools[index].slots);
        let mut worst = 0;
        for pool in pools {
            let at_risk = (0..pools.len()).filter(|index| {
                pools[*index].zone == pool.zone && pools[*index].market == Market::Reclaimable
            });
            worst = at_risk.map(slots).sum::<u64>().max(worst);
        }
        (0..pools.len()).map(slots).sum::<u64>() - worst
    }
}

fn drain(name: &str) -> Action {
    Action::Drain(name.to_owned())
}
