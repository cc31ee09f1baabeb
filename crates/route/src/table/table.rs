//! The table that all workers of a daemon share.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::Duration;

use rand::Rng;
use schema::config::Declaration;
use schema::engine::{Events, Load};
use schema::settings::Policy;
use tokio::time::Instant;

use super::choice::{Scene, Scored, choose};
use super::live::Others;
use super::node::Node;
use super::rate::Rate;
use super::rule::{Affinity, Least, Turns};
use super::stats::{Means, Stats};
use super::view::{Group, View};
use super::{Ask, Outcome, Permit, Pick, Place, Row, Tier, Vm};
use crate::retry::Phase;
use crate::{Reason, Refusal, level};

/// attempts to take a VM whose breaker closes in between
const TAKES: u32 = 4;

/// time to come back when a service has no VM
const NO_UPSTREAM_WAIT: Duration = Duration::from_secs(2);

/// least time to come back when no VM takes work
const RETRY_LEAST: Duration = Duration::from_millis(500);

/// bytes per second that all daemons together may send across the link
const LINK_BYTES_PER_SECOND: f64 = 1_500_000.0;

/// the upstream VMs of all services, as this daemon knows them
#[derive(Debug)]
pub struct Table {
    place: Place,
    policy: Policy,
    daemons: AtomicU32,
    numbers: AtomicU64,
    link_bytes: AtomicU64,
    link_rate: Mutex<Rate>,
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

    /// records that a VM is leaving; it gets no new work
    pub fn leaving(&self, vm: &str, now: Instant) {
        self.write().leave(vm, now);
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

    /// chooses a VM and counts the request as in flight there
    pub fn pick(&self, ask: &Ask<'_>, rng: &mut impl Rng, now: Instant) -> Result<Pick, Refusal> {
        let view = self.read();
        let Some(stats) = view.stats(ask.service) else {
            return Err(Refusal::new(Reason::UnknownService));
        };
        let Some(group) = view.group(ask.service) else {
            return Err(Refusal::after(Reason::NoUpstream, NO_UPSTREAM_WAIT));
        };
        let scene = self.scene(ask, stats, group, now);
        for _ in 0..TAKES {
            let Some(scored) = self.choose(group, &scene, rng) else {
                break;
            };
            let estimate = scored.estimate();
            if now + estimate > ask.deadline {
                return Err(Refusal::after(Reason::Deadline, estimate));
            }
            if let Some(pick) = self.take(&scored, &scene, rng.random()) {
                return Ok(pick);
            }
        }
        Err(Refusal::after(Reason::NoUpstream, reopening(group, now)))
    }

    /// gives back a request and learns from how it ended
    pub fn finish(&self, permit: Permit, outcome: Outcome, now: Instant) {
        permit.settle(outcome, now);
    }

    /// returns the bytes sent across the link between regions, by estimate
    pub fn link_bytes(&self) -> u64 {
        self.link_bytes.load(Ordering::Relaxed)
    }

    /// returns the queueing time a new request of a service can expect
    ///
    /// This is the lower quartile of the nearest VMs that take work; none if there are
    /// no such VMs.
    pub fn wait(&self, service: &str, now: Instant) -> Option<Duration> {
        let view = self.read();
        let stats = view.stats(service)?;
        let group = view.group(service)?;
        let means = stats.means();
        let others = self.others(&means, group, now);
        for tier in Tier::ALL {
            let mut waits: Vec<f64> = group
                .tier(tier)
                .iter()
                .filter(|node| !node.is_leaving())
                .filter_map(|node| node.live().wait_us(&means, &others, now))
                .collect();
            if waits.is_empty() {
                continue;
            }
            let quartile = waits.len() / 4;
            let (_, wait_us, _) = waits.select_nth_unstable_by(quartile, f64::total_cmp);
            return Some(Duration::from_secs_f64(*wait_us / 1e6));
        }
        None
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

    fn choose<'a>(
        &self,
        group: &'a Group,
        scene: &Scene<'_>,
        rng: &mut impl Rng,
    ) -> Option<Scored<'a>> {
        match self.policy {
            Policy::Affinity => choose(&Affinity, group, scene, rng),
            Policy::Least => choose(&Least, group, scene, rng),
            Policy::Turns => choose(&Turns, group, scene, rng),
        }
    }

    fn scene<'a>(
        &self,
        ask: &'a Ask<'a>,
        stats: &'a Stats,
        group: &Group,
        now: Instant,
    ) -> Scene<'a> {
        let means = stats.means();
        let others = self.others(&means, group, now);
        let link_rate = self.lock_link_rate().per_second(now);
        let daemons = others.daemons + 1.0;
        Scene {
            ask,
            stats,
            means,
            others,
            link_use: link_rate * daemons / LINK_BYTES_PER_SECOND,
            now,
        }
    }

    fn others(&self, means: &Means, group: &Group, now: Instant) -> Others {
        let vms = group.tier(Tier::Near).len().max(1) as f64;
        Others {
            daemons: f64::from(self.daemons.load(Ordering::Relaxed) - 1),
            mean_sends: means.sends.per_second(now) / vms,
        }
    }

    /// counts the request in, unless the breaker opened or its probe is out
    fn take(&self, scored: &Scored<'_>, scene: &Scene<'_>, jitter: f64) -> Option<Pick> {
        let node = scored.node;
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let probe;
        {
            let mut live = node.live();
            probe = live.breaker.phase(scene.now) == Phase::HalfOpen;
            if !live.breaker.acquire(scene.now) {
                return None;
            }
            live.send(number, scene.ask, scored.look.prefill_tokens, scene.now);
        }
        scene.stats.sent(scene.now);
        let link = node.tier == Tier::Link;
        if link {
            self.count_link(scene.bytes(), scene.now);
        }
        Some(Pick {
            vm: node.vm.name.clone(),
            address: node.vm.address.clone(),
            estimate: scored.estimate(),
            link,
            permit: Permit {
                node: Arc::clone(node),
                number,
                blocks: scene.ask.blocks.to_vec(),
                known_tokens: scored.look.known_tokens,
                home_tokens: scored.home_tokens,
                jitter,
                probe,
                at: scene.now,
            },
        })
    }

    fn count_link(&self, bytes: u64, now: Instant) {
        self.link_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.lock_link_rate().add(bytes as f64, now);
    }

    fn lock_link_rate(&self) -> MutexGuard<'_, Rate> {
        self.link_rate
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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

    fn read(&self) -> RwLockReadGuard<'_, View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, View> {
        self.view.write().unwrap_or_else(PoisonError::into_inner)
    }
}

/// returns when the first breaker lets a request through
fn reopening(group: &Group, now: Instant) -> Duration {
    let staying = group.nodes().filter(|node| !node.is_leaving());
    let waits = staying.map(|node| node.live().breaker.wait(now));
    waits.min().unwrap_or(NO_UPSTREAM_WAIT).max(RETRY_LEAST)
}
