//! VMs that exist now, by pool and by name.

use std::collections::{BTreeMap, BTreeSet};

use schema::cloud::{State as VmState, Vm};
use tokio::time::Instant;

use crate::state::{Presence, State};
use crate::view::View;

/// VM that serves requests or is being started
#[derive(Debug, Clone, Copy)]
pub(super) struct ActiveVm<'a> {
    pub(super) name: &'a str,
    /// index of its pool
    pub(super) pool: usize,
    pub(super) live: bool,
    /// whether its name is one that plans assign; only such VMs are drained
    pub(super) managed: bool,
}

/// VMs that exist now
#[derive(Debug)]
pub(super) struct Inventory<'a> {
    pub(super) active: Vec<ActiveVm<'a>>,
    /// VMs that count towards the ceiling but no longer provide capacity
    pub(super) outgoing: u32,
    /// managed VMs in pools that are no longer declared
    pub(super) undeclared: Vec<&'a str>,
    used_names: BTreeSet<&'a str>,
}

/// name of a service's VM in a slot
#[must_use]
pub fn slot_name(service: &str, slot: u32) -> String {
    format!("{service}-{slot}")
}

impl<'a> Inventory<'a> {
    /// collects the listed VMs and those that were started but are not listed yet
    pub(super) fn collect(view: &View<'a>, state: &'a State, now: Instant) -> Self {
        let mut inventory = Inventory {
            active: Vec::new(),
            outgoing: 0,
            undeclared: Vec::new(),
            used_names: BTreeSet::new(),
        };
        for vm in view.vms {
            if !state.pending().contains_key(&vm.name) {
                inventory.add_listed(view, state, vm, now);
            }
        }
        for (name, pending) in state.pending() {
            inventory.used_names.insert(name);
            match state.presence_by_name(name, now) {
                Presence::Active => {}
                Presence::Reclaiming => {
                    inventory.outgoing += 1;
                    continue;
                }
                Presence::Removed => continue,
            }
            let pool = view.pools.iter().position(|pool| {
                pool.upstream == pending.pool.upstream
                    && pool.zone == pending.pool.zone
                    && pool.market == pending.pool.market
            });
            match pool {
                Some(pool) => inventory.active.push(ActiveVm {
                    name,
                    pool,
                    live: false,
                    managed: true,
                }),
                None => inventory.outgoing += 1,
            }
        }
        inventory
    }

    fn add_listed(&mut self, view: &View<'a>, state: &State, vm: &'a Vm, now: Instant) {
        // a listed name can't be reused yet, even if its VM was removed
        self.used_names.insert(&vm.name);
        let presence = state.presence(vm, now);
        if presence == Presence::Removed {
            return;
        }
        let is_excluded =
            state.drains().contains_key(&vm.name) || state.is_unresponsive(&vm.name, now);
        if presence == Presence::Reclaiming || is_excluded {
            self.outgoing += 1;
            return;
        }
        let managed = is_managed_name(view.service, &vm.name);
        match view.pools.iter().position(|pool| pool.contains(vm)) {
            Some(pool) => {
                let live = vm.state == VmState::Live;
                self.active.push(ActiveVm {
                    name: &vm.name,
                    pool,
                    live,
                    managed,
                });
            }
            None => {
                self.outgoing += 1;
                if managed {
                    self.undeclared.push(&vm.name);
                }
            }
        }
    }

    /// number of active VMs in each of `pools` pools
    pub(super) fn by_pool(&self, pools: usize) -> Vec<u32> {
        let mut counts = vec![0; pools];
        for vm in &self.active {
            counts[vm.pool] += 1;
        }
        counts
    }

    /// number of active VMs
    pub(super) fn active_count(&self) -> u32 {
        u32::try_from(self.active.len()).unwrap_or(u32::MAX)
    }

    /// number of live VMs
    pub(super) fn live_count(&self) -> usize {
        self.active.iter().filter(|vm| vm.live).count()
    }

    /// names of unused slots below the ceiling, lowest first
    pub(super) fn free_names(&self, service: &str, ceiling: u32) -> Vec<String> {
        let names = (0..ceiling).map(|slot| slot_name(service, slot));
        names
            .filter(|name| !self.used_names.contains(name.as_str()))
            .collect()
    }
}

/// slot of a name that plans assign
pub(super) fn slot_of(service: &str, name: &str) -> Option<u32> {
    let rest = name.strip_prefix(service)?.strip_prefix('-')?;
    let slot: u32 = rest.parse().ok()?;
    (slot_name(service, slot) == name).then_some(slot)
}

/// whether plans assign this name
pub(crate) fn is_managed_name(service: &str, name: &str) -> bool {
    slot_of(service, name).is_some()
}

/// requests in flight on each VM
pub(super) fn in_flight<'a>(view: &View<'a>) -> BTreeMap<&'a str, u32> {
    view.loads
        .iter()
        .map(|load| (load.vm.as_str(), load.in_flight))
        .collect()
}
