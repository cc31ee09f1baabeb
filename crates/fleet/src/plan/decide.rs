//! Derives actions from the difference between the existing and the needed VMs.

use std::time::Duration;

use schema::config::Capacity;
use tokio::time::Instant;

use super::action::{Action, Start};
use super::inventory::{self, Inventory};
use super::mix::{Mix, Search};
use super::need::Need;
use super::scale_down::ScaleDown;
use crate::state::State;
use crate::view::{StoreStatus, View};

/// time after which every daemon knows that a VM is draining
const DRAIN_PROPAGATION: Duration = Duration::from_secs(10);

/// time after which a draining VM without load reports counts as idle
const UNREPORTED_DRAIN_TIMEOUT: Duration = Duration::from_secs(900);

/// demand above the peak that the remaining VMs must be able to serve after a scale-down, percent
const SCALE_DOWN_HEADROOM_PERCENT: u32 = 10;

/// part of the VMs, as a divisor, beyond which unresponsive ones indicate a network partition
const PARTITION_DIVISOR: usize = 5;

/// plans one service: the VMs to start, drain and remove now
///
/// [`State::update`] must have been called with the same view. The same view and state give the
/// same plan.
#[must_use]
pub fn plan(view: &View<'_>, capacity: &Capacity, state: &State, now: Instant) -> Vec<Action> {
    if capacity.hold || view.pools.is_empty() {
        return Vec::new();
    }
    let inventory = Inventory::collect(view, state, now);
    let active = inventory.by_pool(view.pools.len());
    let max_vms = max_vms(view, capacity, state, &inventory);
    let in_backoff: Vec<bool> = view
        .pools
        .iter()
        .map(|pool| state.is_in_backoff(pool, now))
        .collect();
    let best_mix = |need: &Need| Search::new(view.pools, &active, &in_backoff, need).best();
    let need = Need::new(&state.peak(), capacity, max_vms);
    let mut mix = best_mix(&need);
    if inventory.live_count() > mix.total as usize {
        // running VMs are kept until they exceed the need by the headroom
        mix = best_mix(&need.with_headroom(SCALE_DOWN_HEADROOM_PERCENT, inventory.active_count()));
    }
    let mut actions = starts(view, capacity, &inventory, &active, &mix);
    if view.store == StoreStatus::Reachable {
        let scale_down = ScaleDown {
            view,
            inventory: &inventory,
            mix: &mix,
            need: &need,
        };
        actions.extend(scale_down.drains(max_vms, state.may_scale_down(now)));
        actions.extend(removals(view, state, now));
    }
    actions
}

/// maximum number of VMs that may serve; during an outage of the store only lost VMs are replaced
fn max_vms(view: &View<'_>, capacity: &Capacity, state: &State, inventory: &Inventory<'_>) -> u32 {
    // outgoing VMs count towards the ceiling, but no other VM is drained to make room for them
    let room = capacity.ceiling.saturating_sub(inventory.outgoing);
    let max_vms = room.max(inventory.active_count().min(capacity.ceiling));
    match view.store {
        StoreStatus::Reachable => max_vms,
        StoreStatus::Unreachable => max_vms.min(state.count_before_outage().max(capacity.floor)),
    }
}

fn starts(
    view: &View<'_>,
    capacity: &Capacity,
    inventory: &Inventory<'_>,
    active: &[u32],
    mix: &Mix,
) -> Vec<Action> {
    let running = inventory.active_count();
    let used = running.saturating_add(inventory.outgoing);
    let mut room = capacity.ceiling.saturating_sub(used);
    if view.store == StoreStatus::Unreachable {
        // moving a VM to another pool would run more VMs than before the outage
        room = room.min(mix.total.saturating_sub(running));
    }
    let mut names = inventory
        .free_names(view.service, capacity.ceiling)
        .into_iter();
    let mut actions = Vec::new();
    for (index, pool) in view.pools.iter().enumerate() {
        for _ in active[index]..mix.counts[index] {
            if room == 0 {
                return actions;
            }
            let Some(name) = names.next() else {
                return actions;
            };
            room -= 1;
            actions.push(Action::Start(Start {
                name,
                pool: pool.clone(),
            }));
        }
    }
    actions
}

/// removals of idle drained VMs and of VMs that have been unresponsive for too long
fn removals(view: &View<'_>, state: &State, now: Instant) -> Vec<Action> {
    let in_flight = inventory::in_flight(view);
    let mut actions = Vec::new();
    for (name, since) in state.drains() {
        let drained_for = now.saturating_duration_since(*since);
        let is_idle = match in_flight.get(name.as_str()) {
            Some(requests) => *requests == 0 && drained_for >= DRAIN_PROPAGATION,
            None => drained_for >= UNREPORTED_DRAIN_TIMEOUT,
        };
        let is_listed = view.vms.iter().any(|vm| vm.name == *name);
        if is_listed && is_idle && inventory::is_managed_name(view.service, name) {
            actions.push(Action::Remove(name.clone()));
        }
    }
    for name in unresponsive(view, state, now) {
        if inventory::is_managed_name(view.service, name) && !state.drains().contains_key(name) {
            actions.push(Action::Remove(name.to_owned()));
        }
    }
    actions
}

/// unresponsive VMs to remove; none if there are so many that a network partition is more likely
fn unresponsive<'a>(view: &View<'_>, state: &'a State, now: Instant) -> Vec<&'a str> {
    let unresponsive = state.unresponsive_to_remove(now);
    if unresponsive.len() > (view.vms.len() / PARTITION_DIVISOR).max(1) {
        return Vec::new();
    }
    unresponsive
}
