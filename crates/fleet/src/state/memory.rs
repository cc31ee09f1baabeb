//! The memory of one service's planner.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use schema::cloud::{State as Life, Vm};
use tokio::time::Instant;

use super::refusal::Refusals;
use super::window::{HOLD, Window};
use crate::view::{Demand, Place, Store, View};

/// time after which a change must show in the cloud's list
const LIST_LAG: Duration = Duration::from_secs(90);

/// time after which a VM that answers nobody is replaced
const BROKEN_AFTER: Duration = Duration::from_secs(30);

/// time after which a VM that answers nobody is removed
const BROKEN_REMOVE: Duration = Duration::from_secs(120);

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
    // since when each VM answers nobody
    broken: BTreeMap<String, Instant>,
    // names that were leaving in the last list
    leaving: BTreeSet<String>,
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
            broken: BTreeMap::new(),
            leaving: BTreeSet::new(),
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
        // a name is used again only when it has left the list, so what is listed is the new VM
        let listed: BTreeSet<&str> = view.vms.iter().map(|vm| vm.name.as_str()).collect();
        let is_listed = |name: &str| listed.contains(name);
        self.pending
            .retain(|name, pending| !is_listed(name) && now < pending.at + LIST_LAG);
        for load in view.loads.iter().filter(|load| is_listed(&load.vm)) {
            if load.draining {
                self.drained(&load.vm, now);
            }
            if load.broken {
                self.broken.entry(load.vm.clone()).or_insert(now);
            } else {
                self.broken.remove(&load.vm);
            }
        }
        self.broken.retain(|name, _| is_listed(name));
        self.drains
            .retain(|name, at| is_listed(name) || now < *at + LIST_LAG);
        self.see_reclaims(view, now);
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

    /// notes zones that take VMs back, each VM once
    fn see_reclaims(&mut self, view: &View<'_>, now: Instant) {
        let leaving = |vm: &&Vm| self.running(vm, now) == Running::Leaving;
        let leaving: Vec<&Vm> = view.vms.iter().filter(leaving).collect();
        for vm in &leaving {
            if !self.leaving.contains(&vm.name) {
                self.refusals.reclaimed(&vm.zone, &vm.class, now);
            }
        }
        self.leaving = leaving.iter().map(|vm| vm.name.clone()).collect();
    }

    /// takes in a reclaim notice; until the list shows it, only the notice tells
    pub fn notice(&mut self, name: &str, seconds: u32, now: Instant) {
        let taken = now + Duration::from_secs(seconds.into());
        self.notices.entry(name.to_owned()).or_insert(taken);
    }

    /// notes that the cloud took a start
    pub fn started(&mut self, name: &str, place: &Place, now: Instant) {
        self.refusals.accepted(place, now);
        self.removed.remove(name);
        self.drains.remove(name);
        self.notices.remove(name);
        let pending = Pending {
            place: place.clone(),
            at: now,
        };
        self.pending.insert(name.to_owned(), pending);
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

    /// whether a VM has answered nobody for so long that another has to do its work
    pub(crate) fn is_broken(&self, name: &str, now: Instant) -> bool {
        self.broken
            .get(name)
            .is_some_and(|since| now >= *since + BROKEN_AFTER)
    }

    /// VMs that have answered nobody for so long that they may be removed
    pub(crate) fn beyond_repair(&self, now: Instant) -> Vec<&str> {
        let broken = self
            .broken
            .iter()
            .filter(|(_, since)| now >= **since + BROKEN_REMOVE);
        broken.map(|(name, _)| name.as_str()).collect()
    }

    pub(crate) fn count_before_outage(&self) -> u32 {
        self.count_before_outage
    }

    /// how a listed VM counts
    pub(crate) fn running(&self, vm: &Vm, now: Instant) -> Running {
        match (self.running_by_name(&vm.name, now), vm.state) {
            (Running::Yes, Life::Leaving) => Running::Leaving,
            (running, _) => running,
        }
    }

    /// how a VM counts from what was done to it and heard of it
    pub(crate) fn running_by_name(&self, name: &str, now: Instant) -> Running {
        if self.removed.contains_key(name) {
            return Running::No;
        }
        match self.notices.get(name) {
            Some(taken) if now >= *taken => Running::No,
            Some(_) => Running::Leaving,
            None => Running::Yes,
        }
    }
}
