//! The table that all workers of a daemon share.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::Duration;

use schema::config::Declaration;
use schema::engine::{Events, Load};
use schema::settings::Policy;
use tokio::time::Instant;

use super::node::Node;
use super::rate::Rate;
use super::view::View;
use super::{Outcome, Permit, Place, Row, Vm};
use crate::level;
use crate::retry::Kind;

/// the upstream VMs of all services, as this daemon knows them
#[derive(Debug)]
pub struct Table {
    place: Place,
    pub(super) policy: Policy,
    pub(super) daemons: AtomicU32,
    pub(super) numbers: AtomicU64,
    pub(super) link_bytes: AtomicU64,
    pub(super) link_rate: Mutex<Rate>,
    view: RwLock<View>,
}

impl Table {
    /// returns an empty table
    pub fn new(place: Place, policy: Policy) -> Table {
        Table {
            place,
            policy,
            daemons: AtomicU32::new(1),
            numbers: AtomicU64::new(0),
            link_bytes: AtomicU64::new(0),
            link_rate: Mutex::new(Rate::default()),
            view: RwLock::new(View::default()),
        }
    }

    /// takes in the services of a declaration
    pub fn configure(&self, declaration: &Declaration) {
        self.write().configure(declaration);
    }

    /// replaces the known VMs; one known to be leaving stays leaving
    pub fn list(&self, vms: &[Vm]) {
        self.write().list(vms, &self.place);
    }

    /// sets the number of daemons that send to the same VMs, this one included
    pub fn daemons(&self, count: u32) {
        self.daemons.store(count.max(1), Ordering::Relaxed);
    }

    /// records that a VM is leaving; it gets no new work, whatever it says of itself,
    /// until some time after `until`
    pub fn leaving(&self, vm: &str, until: Instant) {
        self.write().leave(vm, until);
    }

    /// tells whether a VM is known to be leaving
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.read().is_leaving(vm)
    }

    /// takes in a VM's own load report, made at a time
    pub fn report(&self, vm: &str, load: &Load, at: Instant) {
        if load.leaving {
            self.leaving(vm, at);
        } else if self.is_leaving(vm) {
            self.write().stay(vm, at);
        }
        let Some(node) = self.find(vm) else {
            return;
        };
        let others = {
            let mut live = node.live();
            if !live.backlog.report(load, at) {
                return;
            }
            live.backlog.others()
        };
        node.stats.reported(load.prefill_us, load.step_us);
        node.stats.others(others);
    }

    /// takes in a load level that another daemon told of, with the time it was made
    pub fn coarse(&self, vm: &str, level: u8, at: Instant) {
        let Some(node) = self.find(vm) else {
            return;
        };
        let means = node.stats.means();
        let others = {
            let mut live = node.live();
            if !live.backlog.coarse(level, &means, at) {
                return;
            }
            live.backlog.others()
        };
        node.stats.others(others);
    }

    /// returns the load level to tell other daemons, as of the last report
    pub fn level(&self, vm: &str) -> Option<u8> {
        let node = self.find(vm)?;
        let at = node.live().backlog.reported_at()?;
        Some(level::encode(self.queue(&node, at)))
    }

    /// takes in a VM's cache events
    pub fn cached(&self, vm: &str, events: &Events) {
        if let Some(node) = self.find(vm) {
            node.live().belief.apply(events);
        }
    }

    /// gives back a request and learns from how it ended
    pub fn finish(&self, permit: Permit, outcome: Outcome, now: Instant) {
        if outcome == Outcome::Failed(Kind::Leaving) {
            self.leaving(permit.vm(), now);
        }
        permit.settle(outcome, now);
    }

    /// returns the bytes sent across the link between regions, by estimate
    pub fn link_bytes(&self) -> u64 {
        self.link_bytes.load(Ordering::Relaxed)
    }

    /// returns the addresses of a service's VMs that are not leaving, nearest first
    pub fn addresses(&self, service: &str) -> Vec<String> {
        let view = self.read();
        let Some(group) = view.group(service) else {
            return Vec::new();
        };
        let staying = group.nodes().filter(|node| !node.is_leaving());
        staying.map(|node| node.vm.address.clone()).collect()
    }

    /// returns all VMs for operators, by name
    pub fn snapshot(&self, now: Instant) -> Vec<Row> {
        let view = self.read();
        let mut rows: Vec<Row> = view.nodes().map(|node| self.row(node, now)).collect();
        rows.sort_by(|one, other| one.vm.name.cmp(&other.vm.name));
        rows
    }

    /// estimates a VM's queueing time without sends of other daemons
    fn queue(&self, node: &Node, now: Instant) -> Duration {
        let means = node.stats.means();
        let queue = node.live().backlog.queue(&means, 0.0, now);
        Duration::from_secs_f64(queue.wait_us / 1e6)
    }

    fn row(&self, node: &Node, now: Instant) -> Row {
        let queue = self.queue(node, now);
        let live = node.live();
        let reported = live.backlog.reported_at();
        Row {
            vm: node.vm.clone(),
            leaving: node.is_leaving(),
            breaker: live.breaker.phase(now),
            in_flight: live.backlog.in_flight(),
            queue,
            report_age: reported.map(|at| now.saturating_duration_since(at)),
            blocks: live.belief.len(),
        }
    }

    fn find(&self, vm: &str) -> Option<Arc<Node>> {
        self.read().find(vm).map(Arc::clone)
    }

    pub(super) fn read(&self) -> RwLockReadGuard<'_, View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, View> {
        self.view.write().unwrap_or_else(PoisonError::into_inner)
    }
}
