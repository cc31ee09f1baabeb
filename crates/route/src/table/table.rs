//! The table of upstream VMs, shared by all workers of a daemon.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::Duration;

use schema::config::Declaration;
use schema::engine::{Events, Load};
use schema::settings::Policy;
use tokio::time::Instant;

use super::endpoint::Endpoint;
use super::rate::Rate;
use super::view::View;
use super::{Location, Outcome, Permit, Row, Vm};
use crate::level;
use crate::retry::Kind;

/// the upstream VMs of all services as known to this daemon
#[derive(Debug)]
pub struct Table {
    location: Location,
    pub(super) policy: Policy,
    pub(super) daemons: AtomicU32,
    pub(super) next_number: AtomicU64,
    pub(super) link_bytes: AtomicU64,
    pub(super) link_rate: Mutex<Rate>,
    view: RwLock<View>,
}

impl Table {
    /// creates an empty table
    pub fn new(location: Location, policy: Policy) -> Table {
        Table {
            location,
            policy,
            daemons: AtomicU32::new(1),
            next_number: AtomicU64::new(0),
            link_bytes: AtomicU64::new(0),
            link_rate: Mutex::new(Rate::default()),
            view: RwLock::new(View::default()),
        }
    }

    /// sets the services to those of a declaration
    pub fn configure(&self, declaration: &Declaration) {
        self.write().configure(declaration);
    }

    /// replaces the VMs; one that is draining continues to drain
    pub fn set_vms(&self, vms: &[Vm]) {
        self.write().set_vms(vms, &self.location);
    }

    /// sets the number of daemons that send to the same VMs, this one included
    pub fn set_daemons(&self, count: u32) {
        self.daemons.store(count.max(1), Ordering::Relaxed);
    }

    /// records that a VM is draining; it gets no new requests, and its load reports cannot end
    /// the drain until two minutes after `until`
    pub fn start_drain(&self, vm: &str, until: Instant) {
        self.write().start_drain(vm, until);
    }

    /// excludes a VM until a time, at which it wants requests of this daemon again
    pub fn close_until(&self, vm: &str, until: Instant) {
        if let Some(endpoint) = self.find(vm) {
            endpoint.lock().stated.close_until(until);
        }
    }

    /// avoids a VM until a time, as it refuses requests of another daemon
    pub fn avoid_until(&self, vm: &str, until: Instant) {
        if let Some(endpoint) = self.find(vm) {
            endpoint.lock().stated.avoid_until(until);
        }
    }

    /// limits this daemon's requests to each VM to a number per second; none without a limit
    pub fn set_limits(&self, limit: impl Fn(&Vm) -> Option<f64>, now: Instant) {
        for endpoint in self.read().endpoints() {
            let per_second = limit(&endpoint.vm);
            endpoint.lock().stated.set_limit(per_second, now);
        }
    }

    /// whether a VM is draining
    pub fn is_draining(&self, vm: &str) -> bool {
        self.read().is_draining(vm)
    }

    /// applies a load report that a VM made at a time
    pub fn apply_report(&self, vm: &str, load: &Load, at: Instant) {
        if load.leaving {
            self.start_drain(vm, at);
        } else if self.is_draining(vm) {
            self.write().end_drain(vm, at);
        }
        let Some(endpoint) = self.find(vm) else {
            return;
        };
        let peer_streams = {
            let mut state = endpoint.lock();
            if !state.backlog.apply_report(load, at) {
                return;
            }
            state.backlog.peer_streams()
        };
        endpoint.stats.record_speed(load.prefill_us, load.step_us);
        endpoint.stats.record_peer_streams(peer_streams);
    }

    /// applies a load level received from another daemon; `at` is when it was measured
    pub fn apply_level(&self, vm: &str, level: u8, at: Instant) {
        let Some(endpoint) = self.find(vm) else {
            return;
        };
        let means = endpoint.stats.means();
        let peer_streams = {
            let mut state = endpoint.lock();
            if !state.backlog.apply_level(level, &means, at) {
                return;
            }
            state.backlog.peer_streams()
        };
        endpoint.stats.record_peer_streams(peer_streams);
    }

    /// load level to send to other daemons, as of the last report
    pub fn load_level(&self, vm: &str) -> Option<u8> {
        let endpoint = self.find(vm)?;
        let at = endpoint.lock().backlog.reported_at()?;
        Some(level::encode(self.queue(&endpoint, at)))
    }

    /// applies the cache events of a VM
    pub fn apply_cache_events(&self, vm: &str, events: &Events) {
        if let Some(endpoint) = self.find(vm) {
            endpoint.lock().cache.apply(events);
        }
    }

    /// ends a request and updates the statistics from its outcome
    pub fn finish(&self, permit: Permit, outcome: Outcome, now: Instant) {
        if outcome == Outcome::Failed(Kind::Draining) {
            self.start_drain(permit.vm(), now);
        }
        permit.finish(outcome, now);
    }

    /// estimated bytes sent across the link between regions
    pub fn link_bytes(&self) -> u64 {
        self.link_bytes.load(Ordering::Relaxed)
    }

    /// addresses of a service's VMs that are not draining, nearest first
    pub fn addresses(&self, service: &str) -> Vec<String> {
        let view = self.read();
        let Some(pool) = view.pool(service) else {
            return Vec::new();
        };
        let active = pool.endpoints().filter(|endpoint| !endpoint.is_draining());
        active.map(|endpoint| endpoint.vm.address.clone()).collect()
    }

    /// all VMs as shown to operators, sorted by name
    pub fn snapshot(&self, now: Instant) -> Vec<Row> {
        let view = self.read();
        let mut rows: Vec<Row> = view
            .endpoints()
            .map(|endpoint| self.row(endpoint, now))
            .collect();
        rows.sort_by(|one, other| one.vm.name.cmp(&other.vm.name));
        rows
    }

    /// estimates a VM's queueing time, without requests sent by other daemons since the report
    fn queue(&self, endpoint: &Endpoint, now: Instant) -> Duration {
        let means = endpoint.stats.means();
        let queue = endpoint.lock().backlog.queue(&means, 0.0, now);
        Duration::from_secs_f64(queue.wait_us / 1e6)
    }

    fn row(&self, endpoint: &Endpoint, now: Instant) -> Row {
        let queue = self.queue(endpoint, now);
        let state = endpoint.lock();
        let reported = state.backlog.reported_at();
        Row {
            vm: endpoint.vm.clone(),
            draining: endpoint.is_draining(),
            breaker: state.breaker.phase(now),
            in_flight: state.backlog.in_flight(),
            queue,
            report_age: reported.map(|at| now.saturating_duration_since(at)),
            blocks: state.cache.len(),
        }
    }

    fn find(&self, vm: &str) -> Option<Arc<Endpoint>> {
        self.read().find(vm).map(Arc::clone)
    }

    pub(super) fn read(&self) -> RwLockReadGuard<'_, View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, View> {
        self.view.write().unwrap_or_else(PoisonError::into_inner)
    }
}
