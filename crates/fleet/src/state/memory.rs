//! The memory of one service's planner.

use std::collections::BTreeMap;
use std::time::Duration;

use schema::cloud::{State as Life, Vm};
use tokio::time::Instant;

use super::refusal::Refusals;
use super::window::{HOLD, Window};
use crate::view::{Demand, Place, Store, View};

/// time after which a change must show in the cloud's list
const LIST_LAG: Duration = Duration::from_secs(90);

/// a VM that was started but is not in the list yet
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) place: Place,
    pub(crate) at: Instant,
}

/// whether and how a listed VM counts
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Running {
    /// it starts or serves
    Yes,
    /// it takes room but is about to go
    Leaving,
    /// it is gone; the list lags
    No,
}

/// what a planner of one service remembers
#[derive(Debug, Clone)]
pub struct State {
    window: Window,
    refusals: Refusals,
    pending: BTreeMap<String, Pending>,
    drains: BTreeMap<String, Instant>,
    removed: BTreeMap<String, Instant>,
    // when each VM with a notice is taken
    notices: BTreeMap<String, Instant>,
    since: Instant,
    count_before_outage: u32,
}

impl State {
    /// an empty memory; the seed spreads the waits of several planners
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        State {
            window: Window::default(),
            refusals: Refusals::new(seed),
            pending: BTreeMap::new(),
            drains: BTreeMap::new(),
            removed: BTreeMap::new(),
            notices: BTreeMap::new(),
            since: now,
            count_before_outage: 0,
        }
    }

    /// takes in a report of demand
    pub fn observe(&mut self, demand: &[Demand], now: Instant) {
        self.window.observe(demand, now);
    }

    /// takes in the cloud's list; call it before each plan
    pub fn see(&mut self, view: &View<'_>, now: Instant) {
        for vm in view.vms {
            let pending = self.pending.get(&vm.name);
            let known = pending.is_some() && vm.state != Life::Leaving;
            if known || vm.state == Life::Live {
                self.pending.remove(&vm.name);
            }
        }
        self.pending
            .retain(|_, pending| now < pending.at + LIST_LAG);
        for load in view.loads.iter().filter(|load| load.draining) {
            self.drained(&load.vm, now);
        }
        let listed = |name: &String| view.vms.iter().any(|vm| vm.name == *name);
        self.drains
            .retain(|name, at| listed(name) || now < *at + LIST_LAG);
        self.removed.retain(|_, at| now < *at + LIST_LAG);
        self.notices.retain(|_, taken| now < *taken + LIST_LAG);
        self.refusals.forget(now);
        if view.store == Store::Reachable {
            let running = view.vms.iter().filter(|vm| {
                self.running(vm, now) == Running::Yes && !self.drains.contains_key(&vm.name)
            });
            let count = running.count() + self.pending.len();
            self.count_before_outage = u32::try_from(count).unwrap_or(u32::MAX);
        }
    }

    /// takes in a reclaim notice
    pub fn notice(&mut self, vm: &Vm, seconds: u32, now: Instant) {
        let taken = now + Duration::from_secs(seconds.into());
        self.notices.entry(vm.name.clone()).or_insert(taken);
        self.refusals.reclaimed(&vm.zone, &vm.class, now);
    }

    /// notes that the cloud took a start
    pub fn started(&mut self, name: &str, place: &Place, now: Instant) {
        self.refusals.accepted(place, now);
        self.removed.remove(name);
        self.drains.remove(name);
        self.notices.remove(name);
        self.pending.insert(
            name.to_owned(),
            Pending {
                place: place.clone(),
                at: now,
            },
        );
    }

    /// notes that the cloud had no such VM to give
    pub fn refused(&mut self, place: &Place, now: Instant) {
        self.refusals.refused(place, now);
    }

    /// notes that a VM was told to drain
    pub fn drained(&mut self, name: &str, now: Instant) {
        self.drains.entry(name.to_owned()).or_insert(now);
    }

    /// notes that a VM was removed
    pub fn removed(&mut self, name: &str, now: Instant) {
        self.drains.remove(name);
        self.pending.remove(name);
        self.removed.insert(name.to_owned(), now);
    }

    pub(crate) fn peak(&self) -> BTreeMap<String, u32> {
        self.window.peak()
    }

    /// whether the demand is known well enough to remove VMs
    pub(crate) fn may_shrink(&self, now: Instant) -> bool {
        self.window.is_fresh(now) && now >= self.since + HOLD
    }

    pub(crate) fn is_waiting(&self, place: &Place, now: Instant) -> bool {
        self.refusals.is_waiting(place, now)
    }

    pub(crate) fn pending(&self) -> &BTreeMap<String, Pending> {
        &self.pending
    }

    pub(crate) fn drains(&self) -> &BTreeMap<String, Instant> {
        &self.drains
    }

    pub(crate) fn count_before_outage(&self) -> u32 {
        self.count_before_outage
    }

    /// how a listed VM counts
    pub(crate) fn running(&self, vm: &Vm, now: Instant) -> Running {
        if self.removed.contains_key(&vm.name) {
            return Running::No;
        }
        match self.notices.get(&vm.name) {
            Some(taken) if now >= *taken => return Running::No,
            Some(_) => return Running::Leaving,
            None => {}
        }
        match vm.state {
            Life::Leaving => Running::Leaving,
            Life::Starting | Life::Live => Running::Yes,
        }
    }
}
