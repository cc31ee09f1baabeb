//! State of one service's planner.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use schema::cloud::{State as VmState, Vm};
use tokio::time::Instant;

use super::backoff::Backoffs;
use super::window::{DemandWindow, WINDOW_LENGTH};
use crate::view::{Demand, Pool, StoreStatus, View};

/// maximum lag of the cloud's list behind changes
const MAX_LIST_LAG: Duration = Duration::from_secs(90);

/// time after which an unresponsive VM is replaced
const REPLACE_UNRESPONSIVE_AFTER: Duration = Duration::from_secs(30);

/// time after which an unresponsive VM is removed
const REMOVE_UNRESPONSIVE_AFTER: Duration = Duration::from_secs(120);

/// VM that was started but is not in the cloud's list yet
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) pool: Pool,
    pub(crate) at: Instant,
}

/// whether a VM still exists and provides capacity
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    /// it is starting or live
    Active,
    /// it has its preemption notice; it counts towards the ceiling but not as capacity
    Reclaiming,
    /// it was removed or reclaimed, though the list may still contain it
    Removed,
}

/// state that a planner keeps for one service between two plans
#[derive(Debug, Clone)]
pub struct State {
    window: DemandWindow,
    backoffs: Backoffs,
    pending: BTreeMap<String, Pending>,
    drains: BTreeMap<String, Instant>,
    removed: BTreeMap<String, Instant>,
    // since when each VM has been unresponsive
    unresponsive: BTreeMap<String, Instant>,
    // VMs with a preemption notice at the last update, whose pool is in backoff already
    reclaiming: BTreeSet<String>,
    // when each VM with a preemption notice is going to be reclaimed
    notices: BTreeMap<String, Instant>,
    created: Instant,
    count_before_outage: u32,
}

impl State {
    /// an empty state; the seed determines the jitter of backoffs, so that planners differ
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        State {
            window: DemandWindow::default(),
            backoffs: Backoffs::new(seed),
            pending: BTreeMap::new(),
            drains: BTreeMap::new(),
            removed: BTreeMap::new(),
            unresponsive: BTreeMap::new(),
            reclaiming: BTreeSet::new(),
            notices: BTreeMap::new(),
            created: now,
            count_before_outage: 0,
        }
    }

    /// records the reported demand
    pub fn record_demand(&mut self, demand: &[Demand], now: Instant) {
        self.window.record(demand, now);
    }

    /// updates the state from the cloud's list and the VMs' loads; has to precede each plan
    pub fn update(&mut self, view: &View<'_>, now: Instant) {
        // a name is reused only after it has disappeared from the list, so a listed VM is the one
        // that was started last
        let listed: BTreeSet<&str> = view.vms.iter().map(|vm| vm.name.as_str()).collect();
        let is_listed = |name: &str| listed.contains(name);
        self.pending
            .retain(|name, pending| !is_listed(name) && now < pending.at + MAX_LIST_LAG);
        for load in view.loads.iter().filter(|load| is_listed(&load.vm)) {
            if load.draining {
                self.record_drain(&load.vm, now);
            }
            if load.unresponsive {
                self.unresponsive.entry(load.vm.clone()).or_insert(now);
            } else {
                self.unresponsive.remove(&load.vm);
            }
        }
        self.unresponsive.retain(|name, _| is_listed(name));
        self.drains
            .retain(|name, at| is_listed(name) || now < *at + MAX_LIST_LAG);
        self.record_reclaims(view, now);
        self.removed.retain(|_, at| now < *at + MAX_LIST_LAG);
        self.notices
            .retain(|_, reclaim_at| now < *reclaim_at + MAX_LIST_LAG);
        self.backoffs.expire(now);
        if view.store == StoreStatus::Reachable {
            let active = view.vms.iter().filter(|vm| {
                self.presence(vm, now) == Presence::Active && !self.drains.contains_key(&vm.name)
            });
            let count = active.count() + self.pending.len();
            self.count_before_outage = u32::try_from(count).unwrap_or(u32::MAX);
        }
    }

    /// starts a backoff for the pool of each VM that is being reclaimed, once for each VM
    fn record_reclaims(&mut self, view: &View<'_>, now: Instant) {
        let is_reclaiming = |vm: &&Vm| self.presence(vm, now) == Presence::Reclaiming;
        let reclaiming: Vec<&Vm> = view.vms.iter().filter(is_reclaiming).collect();
        for vm in &reclaiming {
            if !self.reclaiming.contains(&vm.name) {
                self.backoffs.record_reclaim(&vm.zone, &vm.class, now);
            }
        }
        self.reclaiming = reclaiming.iter().map(|vm| vm.name.clone()).collect();
    }

    /// records a preemption notice; it counts even before the cloud's list shows the change
    pub fn record_notice(&mut self, name: &str, seconds: u32, now: Instant) {
        let reclaim_at = now + Duration::from_secs(seconds.into());
        self.notices.entry(name.to_owned()).or_insert(reclaim_at);
    }

    /// records that the cloud accepted the start of a VM
    pub fn record_start(&mut self, name: &str, pool: &Pool, now: Instant) {
        self.backoffs.record_start(pool, now);
        self.removed.remove(name);
        self.drains.remove(name);
        self.notices.remove(name);
        let pending = Pending {
            pool: pool.clone(),
            at: now,
        };
        self.pending.insert(name.to_owned(), pending);
    }

    /// records that the cloud has no capacity in a pool
    pub fn record_refusal(&mut self, pool: &Pool, now: Instant) {
        self.backoffs.record_refusal(pool, now);
    }

    /// records the start of a VM's draining
    pub fn record_drain(&mut self, name: &str, now: Instant) {
        self.drains.entry(name.to_owned()).or_insert(now);
    }

    /// records the removal of a VM
    pub fn record_removal(&mut self, name: &str, now: Instant) {
        self.drains.remove(name);
        self.pending.remove(name);
        self.removed.insert(name.to_owned(), now);
    }

    pub(crate) fn peak(&self) -> BTreeMap<String, u32> {
        self.window.peak()
    }

    /// whether the demand of a full window is known, up to now
    pub(crate) fn may_scale_down(&self, now: Instant) -> bool {
        self.window.is_fresh(now) && now >= self.created + WINDOW_LENGTH
    }

    pub(crate) fn is_in_backoff(&self, pool: &Pool, now: Instant) -> bool {
        self.backoffs.is_in_backoff(pool, now)
    }

    pub(crate) fn pending(&self) -> &BTreeMap<String, Pending> {
        &self.pending
    }

    pub(crate) fn drains(&self) -> &BTreeMap<String, Instant> {
        &self.drains
    }

    /// whether a VM has been unresponsive for so long that it has to be replaced
    pub(crate) fn is_unresponsive(&self, name: &str, now: Instant) -> bool {
        self.unresponsive
            .get(name)
            .is_some_and(|since| now >= *since + REPLACE_UNRESPONSIVE_AFTER)
    }

    /// VMs that have been unresponsive for so long that they may be removed
    pub(crate) fn unresponsive_to_remove(&self, now: Instant) -> Vec<&str> {
        let unresponsive = self
            .unresponsive
            .iter()
            .filter(|(_, since)| now >= **since + REMOVE_UNRESPONSIVE_AFTER);
        unresponsive.map(|(name, _)| name.as_str()).collect()
    }

    pub(crate) fn count_before_outage(&self) -> u32 {
        self.count_before_outage
    }

    /// presence of a listed VM
    pub(crate) fn presence(&self, vm: &Vm, now: Instant) -> Presence {
        match (self.presence_by_name(&vm.name, now), vm.state) {
            (Presence::Active, VmState::Leaving) => Presence::Reclaiming,
            (presence, _) => presence,
        }
    }

    /// presence of a VM by its removal and its preemption notice alone, without the list
    pub(crate) fn presence_by_name(&self, name: &str, now: Instant) -> Presence {
        if self.removed.contains_key(name) {
            return Presence::Removed;
        }
        match self.notices.get(name) {
            Some(reclaim_at) if now >= *reclaim_at => Presence::Removed,
            Some(_) => Presence::Reclaiming,
            None => Presence::Active,
        }
    }
}
