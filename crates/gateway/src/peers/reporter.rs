use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use peer::Node;
use rand::Rng;
use schema::member::{Member, State};
use tokio::time::{Instant, sleep, sleep_until};

use super::interval::{CALL_TIMEOUT, ZONE_SUM_INTERVAL, report_interval};
use super::join::{REPORT_METHOD, UPDATE_METHOD};
use super::report::{Answer, Report, Scope, Spending, Update};
use super::state::Peers;
use super::topology::{Peer, Topology};
use crate::adapter::Dialect;
use crate::limits::connect_to_owners;
use crate::shared::Shared;
use crate::usage::{Counts, Snapshot};

/// time for which updates are batched before they are sent: VMs stop in groups, the requests of a VM
/// break at the same time, and delegates pass on what many daemons send
const UPDATE_BATCH_TIME: Duration = Duration::from_millis(50);

/// usage windows in a full report: the current one and those not yet reported
const FULL_REPORT_WINDOWS: usize = 3;

/// interval between two full reports; other reports have only the current usage window, which
/// suffices because a window is reported some seconds after its end
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(900);

/// sends reports and updates to the peers
pub(super) struct Reporter<D: Dialect> {
    shared: Rc<Shared<D>>,
    peers: Rc<Peers>,
    node: Node,
    /// daemons registered at the start, this one included
    registered: usize,
    instance: u64,
    start: Instant,
    /// which of the reported peers is asked for the others' reports
    asked: Cell<usize>,
}

impl<D: Dialect + 'static> Reporter<D> {
    /// a reporter of a process that has just joined the others
    pub fn new(
        shared: &Rc<Shared<D>>,
        peers: &Rc<Peers>,
        node: Node,
        registered: usize,
    ) -> Reporter<D> {
        Reporter {
            shared: Rc::clone(shared),
            peers: Rc::clone(peers),
            node,
            registered,
            instance: rand::rng().random::<u32>().into(),
            start: Instant::now(),
            asked: Cell::default(),
        }
    }

    /// sends periodic reports and rebalances the limits
    pub async fn run(&self) {
        let mut next = Instant::now();
        let mut rebalanced_at = next;
        let mut zone_sum_next = next;
        let mut full_next = next;
        loop {
            let members = self.node.members();
            let topology = self.topology(&members);
            let interval = report_interval(&topology);
            let jitter = rand::rng().random_range(0.9..1.1);
            self.set_report_interval(interval);
            next = (next + interval.mul_f64(jitter)).max(Instant::now());
            let now = Instant::now();
            let sends_zone_sum = topology.forwards_sums() && now >= zone_sum_next;
            // the sums of a zone have to include every window of this daemon
            let is_full = topology.is_delegate() || now >= full_next;
            if is_full {
                full_next = now + FULL_REPORT_INTERVAL;
            }
            let report = self.report(is_full, now);
            self.peers.reports.borrow_mut().set_local(report.clone());
            if sends_zone_sum {
                zone_sum_next = now + ZONE_SUM_INTERVAL;
                let mut zone = self.peers.reports.borrow_mut().zone_sum(now);
                zone.rollouts = self.shared.rollout_progress_of_zone();
                zone.stops = self.shared.stops_in_force();
                self.send(&members, topology.remote_delegates(), &zone)
                    .await;
            }
            self.send_report(&members, &topology, report).await;
            let now = Instant::now();
            self.peers.rebalance(&self.shared, now - rebalanced_at);
            self.peers.apply_measurements(&self.shared);
            connect_to_owners(&self.shared);
            rebalanced_at = now;
            sleep_until(next).await;
        }
    }

    fn set_report_interval(&self, interval: Duration) {
        let mut placement = self.shared.placement.borrow_mut();
        placement.set_report_interval(interval);
    }

    /// sends what VMs stated, evidence of crashes and stops of versions as soon as there are some
    pub async fn run_updates(&self) {
        let shared = &self.shared;
        loop {
            tokio::select! {
                () = shared.notices.news_ready.notified() => {}
                () = shared.quarantine.evidence_ready.notified() => {}
                () = shared.rollouts.news_ready.notified() => {}
            }
            sleep(UPDATE_BATCH_TIME).await;
            let update = Update {
                notices: shared.notices.news.take(),
                evidence: shared.quarantine.evidence.take(),
                stops: shared.rollouts.news.take(),
            };
            if !update.is_empty() {
                self.send_update(&update, &self.peers.topology().update_peers());
            }
        }
    }

    /// sends an update to some peers without waiting for their answers
    fn send_update(&self, update: &Update, recipients: &[String]) {
        let members = self.node.members();
        for member in members
            .iter()
            .filter(|member| recipients.contains(&member.vm))
        {
            let (node, member, update) = (self.node.clone(), member.clone(), update.clone());
            tokio::spawn(async move {
                let result = node
                    .call::<Update, ()>(&member, UPDATE_METHOD, &update, CALL_TIMEOUT)
                    .await;
                if let Err(error) = result {
                    tracing::debug!(event = "peer_not_told", peer = member.vm, %error);
                }
            });
        }
    }

    /// derives the topology from the membership and applies this daemon's roles in it
    fn topology(&self, members: &[Member]) -> Topology {
        let as_peer = |member: &Member| Peer {
            name: member.vm.clone(),
            zone: member.data_centre.clone(),
        };
        let all: Vec<Peer> = members.iter().map(as_peer).collect();
        let topology = Topology::new(as_peer(self.node.me()), &all);
        let me = self.node.me();
        let is_other = |member: &&Member| member.vm != me.vm && member.state != State::Leaving;
        let mut senders: Vec<Peer> = members.iter().filter(is_other).map(as_peer).collect();
        senders.push(as_peer(me));
        let role = topology.role();
        if self.shared.role.replace(role) != role {
            tracing::info!(event = "store_role", ?role, daemons = topology.daemons());
        }
        let mut reports = self.peers.reports.borrow_mut();
        reports.set_topology(topology.clone());
        self.shared.origins.set_topology(&topology);
        self.shared.rollouts.set_topology(&topology);
        let is_alone = topology.group_peers().is_empty() && self.registered > 1;
        if !is_alone {
            self.shared.is_joined.set(true);
        }
        drop(reports);
        self.shared.set_senders(senders, topology.daemons());
        topology
    }

    /// sends this daemon's report; one that is no delegate asks one delegate for the other daemons' reports,
    /// and the other one next time if it gets none
    async fn send_report(&self, members: &[Member], topology: &Topology, report: Report) {
        let names = topology.reported_peers();
        if topology.is_delegate() || !topology.has_remote_zones() || names.is_empty() {
            self.send(members, names, &report).await;
            return;
        }
        let asked = self.asked.get() % names.len();
        let asking = Report {
            wants_others: true,
            ..report.clone()
        };
        let (is_answered, ()) =
            tokio::join!(self.send(members, &names[asked..=asked], &asking), async {
                let others = [&names[..asked], &names[asked + 1..]].concat();
                self.send(members, &others, &report).await;
            });
        if !is_answered {
            self.asked.set(asked + 1);
        }
    }

    /// sends a report to the named members and applies what they answer with; returns whether one of
    /// them answered with the other daemons' reports
    async fn send(&self, members: &[Member], names: &[String], message: &Report) -> bool {
        let mut calls = Vec::new();
        for member in members.iter().filter(|member| names.contains(&member.vm)) {
            let node = self.node.clone();
            let member = member.clone();
            let message = message.clone();
            let requested_at = self.shared.clock.now();
            let call = tokio::spawn(async move {
                let reply =
                    node.call::<Report, Answer>(&member, REPORT_METHOD, &message, CALL_TIMEOUT);
                reply.await.unwrap_or_else(|error| {
                    tracing::debug!(event = "peer_not_told", peer = member.vm, %error);
                    Answer::default()
                })
            });
            calls.push((requested_at, call));
        }
        let mut is_answered = false;
        for (requested_at, call) in calls {
            let answer = match call.await {
                Ok(answer) => answer,
                Err(error) => {
                    // the task panicked, which is a bug
                    tracing::error!(event = "peer_call_failed", %error);
                    continue;
                }
            };
            if let Some(confirmation) = answer.confirmation {
                self.shared.apply_confirmation(&confirmation, requested_at);
            }
            if let Some(others) = answer.others {
                is_answered = true;
                self.peers.receive(&self.shared, *others);
            }
        }
        is_answered
    }

    /// this daemon's own report
    fn report(&self, is_full: bool, now: Instant) -> Report {
        let shared = &self.shared;
        let mut placement = shared.placement.borrow_mut();
        let loads = placement.loads();
        let rates = placement.rates(now);
        let [engines, rough_engines] = placement.measurements(now);
        let slow = placement.slow_vms(now);
        let prefills = placement.take_prefills();
        drop(placement);
        let mut spending = HashMap::new();
        for (workspace, quota) in shared.quotas.borrow_mut().iter_mut() {
            let demand = quota.demand(now).round();
            let spent = quota.spent().round();
            if spent > 0.0 || demand > 0.0 {
                spending.insert(workspace.clone(), Spending { demand, spent });
            }
        }
        let counts = shared.tally.borrow().snapshot();
        let windows = if is_full { FULL_REPORT_WINDOWS } else { 1 };
        let latest = counts.windows.into_iter().rev().take(windows);
        let windows: BTreeMap<u64, Counts> = latest.collect();
        let now_ms = shared.wall_clock.now_ms();
        Report {
            from: shared.settings.name.clone(),
            zone: shared.settings.zone.clone(),
            scope: Scope::Daemon,
            instance: self.instance,
            age_ms: u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX),
            time_ms: now_ms,
            loads,
            spending,
            prefills,
            rates,
            engines,
            rough_engines,
            slow,
            demands: shared.fairness.borrow_mut().demands(now),
            counts: Snapshot { windows },
            notices: shared.notices.table.borrow().in_force(now_ms),
            marks: shared.quarantine.parts.borrow().marks(),
            rollouts: shared.rollout_progress(),
            stops: shared.stops_in_force(),
            ..Report::default()
        }
    }
}
