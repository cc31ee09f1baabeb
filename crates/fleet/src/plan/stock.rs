//! What runs now, by place and by name.

use std::collections::{BTreeMap, BTreeSet};

use schema::cloud::{State as Life, Vm};
use tokio::time::Instant;

use crate::state::{Running, State};
use crate::view::View;

/// a VM that serves or will
#[derive(Debug, Clone, Copy)]
pub(super) struct Unit<'a> {
    pub(super) name: &'a str,
    /// index of its place
    pub(super) place: usize,
    pub(super) live: bool,
    /// whether its name is one that plans give
    pub(super) own: bool,
}

/// what runs now
#[derive(Debug)]
pub(super) struct Stock<'a> {
    pub(super) units: Vec<Unit<'a>>,
    /// VMs that take room under the ceiling but give no capacity any more
    pub(super) going: u32,
    /// VMs of places that are no longer declared
    pub(super) strays: Vec<&'a str>,
    taken: BTreeSet<&'a str>,
}

/// the name of a service's VM in a slot
#[must_use]
pub fn slot_name(service: &str, slot: u32) -> String {
    format!("{service}-{slot}")
}

impl<'a> Stock<'a> {
    /// counts the listed VMs and those that were just started
    pub(super) fn take(view: &View<'a>, state: &'a State, now: Instant) -> Self {
        let mut stock = Stock {
            units: Vec::new(),
            going: 0,
            strays: Vec::new(),
            taken: BTreeSet::new(),
        };
        for vm in view.vms {
            if !state.pending().contains_key(&vm.name) {
                stock.add_listed(view, state, vm, now);
            }
        }
        for (name, pending) in state.pending() {
            stock.taken.insert(name);
            match state.running_by_name(name, now) {
                Running::Yes => {}
                Running::Leaving => {
                    stock.going += 1;
                    continue;
                }
                Running::No => continue,
            }
            let place = view.places.iter().position(|place| {
                place.upstream == pending.place.upstream
                    && place.zone == pending.place.zone
                    && place.market == pending.place.market
            });
            match place {
                Some(place) => stock.units.push(Unit {
                    name,
                    place,
                    live: false,
                    own: true,
                }),
                None => stock.going += 1,
            }
        }
        stock
    }

    fn add_listed(&mut self, view: &View<'a>, state: &State, vm: &'a Vm, now: Instant) {
        // a name that is still listed is not free, even if its VM is gone
        self.taken.insert(&vm.name);
        let running = state.running(vm, now);
        if running == Running::No {
            return;
        }
        let is_out = state.drains().contains_key(&vm.name) || state.is_broken(&vm.name, now);
        if running == Running::Leaving || is_out {
            self.going += 1;
            return;
        }
        let own = is_own(view.service, &vm.name);
        match view.places.iter().position(|place| place.holds(vm)) {
            Some(place) => {
                let live = vm.state == Life::Live;
                self.units.push(Unit {
                    name: &vm.name,
                    place,
                    live,
                    own,
                });
            }
            None => {
                self.going += 1;
                if own {
                    self.strays.push(&vm.name);
                }
            }
        }
    }

    /// VMs in each place
    pub(super) fn by_place(&self, places: usize) -> Vec<u32> {
        let mut counts = vec![0; places];
        for unit in &self.units {
            counts[unit.place] += 1;
        }
        counts
    }

    /// VMs that serve or will
    pub(super) fn running(&self) -> u32 {
        u32::try_from(self.units.len()).unwrap_or(u32::MAX)
    }

    /// VMs that serve
    pub(super) fn live(&self) -> usize {
        self.units.iter().filter(|unit| unit.live).count()
    }

    /// the names of free slots below the ceiling, lowest first
    pub(super) fn free_names(&self, service: &str, ceiling: u32) -> Vec<String> {
        let names = (0..ceiling).map(|slot| slot_name(service, slot));
        names
            .filter(|name| !self.taken.contains(name.as_str()))
            .collect()
    }
}

/// the slot of a name that plans give
pub(super) fn slot(service: &str, name: &str) -> Option<u32> {
    let rest = name.strip_prefix(service)?.strip_prefix('-')?;
    let slot: u32 = rest.parse().ok()?;
    (slot_name(service, slot) == name).then_some(slot)
}

/// whether a name is one that plans give
pub(crate) fn is_own(service: &str, name: &str) -> bool {
    slot(service, name).is_some()
}

/// requests on each VM
pub(super) fn in_flight<'a>(view: &View<'a>) -> BTreeMap<&'a str, u32> {
    view.loads
        .iter()
        .map(|load| (load.vm.as_str(), load.in_flight))
        .collect()
}
