use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use peer::Node;
use route::placement::{Measurement, Rate};
use tokio::time::Instant;

use super::interval::counts_age;
use super::report::{Report, Scope};
use super::reports::Reports;
use super::shares::update_shares;
use super::topology::{Peer, Topology};
use crate::adapter::Dialect;
use crate::notices;
use crate::quarantine;
use crate::rollout;
use crate::shared::Shared;
use crate::usage::Counts;

/// state received from the other daemons, shared by the tasks of one thread
pub struct Peers {
    pub(super) reports: RefCell<Reports>,
    pub(super) node: RefCell<Option<Node>>,
}

impl Peers {
    /// creates the state of a daemon without peers
    pub fn new(name: &str, zone: &str) -> Rc<Peers> {
        let me = Peer {
            name: name.to_owned(),
            zone: zone.to_owned(),
        };
        Rc::new(Peers {
            reports: RefCell::new(Reports::new(me)),
            node: RefCell::default(),
        })
    }

    /// requests of a window by workspace, over all daemons
    pub fn counts<D: Dialect>(&self, shared: &Shared<D>, window: u64) -> Counts {
        let mut sum = self.reports.borrow().counts(window);
        let local = shared.tally.borrow().snapshot();
        for (workspace, count) in local.windows.get(&window).into_iter().flatten() {
            let sum = sum.entry(workspace.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        if let Some(record) = &*shared.restored.borrow() {
            record.raise_counts(window, &mut sum);
        }
        sum
    }

    /// units per second that callers of the peers request for a workspace
    pub fn demand(&self, workspace: &str) -> f64 {
        self.reports.borrow().demand(workspace, Instant::now())
    }

    /// longest time until the counts of all daemons have arrived at this one
    pub fn counts_age(&self) -> Duration {
        counts_age(self.reports.borrow().topology())
    }

    /// the current topology
    pub fn topology(&self) -> Topology {
        self.reports.borrow().topology().clone()
    }

    /// bytes sent to the peers and received from them
    pub fn traffic(&self) -> (u64, u64) {
        let node = self.node.borrow();
        node.as_ref().map_or((0, 0), |node| {
            let traffic = node.traffic();
            (traffic.sent_bytes, traffic.received_bytes)
        })
    }

    /// number of daemons, this one included
    pub fn daemons(&self) -> usize {
        self.reports.borrow().topology().daemons()
    }

    /// position of this daemon in an order that is the same at all daemons
    pub fn rank(&self) -> usize {
        self.reports.borrow().topology().rank()
    }

    /// work per second that callers request from a service, over all daemons
    pub fn rate<D: Dialect>(&self, shared: &Shared<D>, service: &str) -> Rate {
        let now = Instant::now();
        let mut sum = shared.placement.borrow_mut().rate(service, now);
        sum.add(&self.reports.borrow().rate(service, now));
        sum
    }

    /// applies a report to the placement state
    pub(super) fn receive<D: Dialect>(&self, shared: &Shared<D>, report: Report) {
        let now = Instant::now();
        if report.scope != Scope::Zone && report.time_ms > 0 {
            for (name, time_ms) in &report.times_ms {
                shared.wall_clock.add_peer(name, *time_ms);
            }
            shared.wall_clock.add_peer(&report.from, report.time_ms);
        }
        // an update with the same may arrive later, and then contains nothing new to pass on
        let is_forwarded = self.topology().is_delegate();
        notices::apply(shared, &report.notices, is_forwarded);
        quarantine::apply_marks(shared, &report.marks, is_forwarded);
        rollout::receive(shared, &report, is_forwarded);
        let mut reports = self.reports.borrow_mut();
        let mut placement = shared.placement.borrow_mut();
        if let Some(report) = reports.receive(report, now) {
            placement.set_peer_loads(&report.from, report.loads.clone(), now);
            placement.add_peer_prefills(&report.prefills, now);
            placement.set_peer_slow_vms(&report.slow, now);
            let mut fairness = shared.fairness.borrow_mut();
            fairness.set_peer(&report.from, &report.demands, now);
        }
    }

    /// the sum of all daemons but the one that sent this report, if this daemon collects them
    pub(super) fn others<D: Dialect>(
        &self,
        shared: &Shared<D>,
        receiver: &Report,
    ) -> Option<Box<Report>> {
        let mut reports = self.reports.borrow_mut();
        if !receiver.wants_others || !reports.topology().is_delegate() {
            return None;
        }
        let mut others = reports.others(receiver, Instant::now());
        others.rollouts = shared.rollout_progress_for(receiver);
        others.stops = shared.stops_in_force();
        Some(Box::new(others))
    }

    /// applies what all daemons measured of engines
    pub(super) fn apply_measurements<D: Dialect>(&self, shared: &Shared<D>) {
        let now = Instant::now();
        let [totals, rough] = self.reports.borrow().measurements(now);
        let none = Measurement::default();
        let mut placement = shared.placement.borrow_mut();
        for service in rough
            .keys()
            .chain(totals.keys().filter(|name| !rough.contains_key(*name)))
        {
            let of =
                |sums: &HashMap<String, Measurement>| sums.get(service).copied().unwrap_or(none);
            if let Some(timing) = placement.apply_measurement(service, &of(&totals), &of(&rough)) {
                tracing::info!(
                    event = "engines_measured",
                    service,
                    is_learned = placement.learned(service).is_some(),
                    tokens_per_ms = timing.tokens_per_ms,
                    base_ms = timing.base.as_millis() as u64,
                    slot_ms = timing.slot_time.as_millis() as u64,
                );
            }
        }
    }

    /// updates this daemon's share of each limit from the spending and demand of all daemons
    pub(super) fn rebalance<D: Dialect>(&self, shared: &Shared<D>, elapsed: Duration) {
        let now = Instant::now();
        let mut reports = self.reports.borrow_mut();
        let daemons = reports.daemons(now);
        shared.set_daemons(daemons);
        let topology = reports.topology();
        if topology.has_remote_zones() {
            shared.owners.set_daemons(topology.daemons(), daemons, now);
        } else {
            shared.owners.disable();
        }
        update_shares(shared, now);
        set_peer_rates(shared, &reports, now);
        let mut ledgers = shared.ledgers.borrow_mut();
        for (workspace, quota) in shared.quotas.borrow_mut().iter_mut() {
            let peers = reports.peer_spending(workspace, elapsed, now);
            quota.apply_peers(&peers, now);
            if let Some(ledger) = ledgers.get_mut(workspace) {
                ledger.record_reported(peers.spent, now);
            }
        }
    }
}

/// tells placement the demand of the peers' callers, and shows what follows in the metrics
fn set_peer_rates<D: Dialect>(shared: &Shared<D>, reports: &Reports, now: Instant) {
    let Some(config) = shared.config() else {
        return;
    };
    let mut placement = shared.placement.borrow_mut();
    for service in config.services.keys() {
        placement.set_peer_rate(service, reports.rate(service, now), now);
        let (excess, spill) = placement.excess_and_spill(service, now);
        let values = [
            ("excess_ms", excess.as_secs_f64() * 1000.0),
            ("spill_permille", spill * 1000.0),
        ];
        for (name, value) in values {
            let gauge = &shared.metrics.placement;
            let gauge = gauge.with_label_values(&[service.as_str(), name]);
            gauge.set(value.round() as i64);
        }
    }
}
