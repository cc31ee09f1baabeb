use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use peer::Node;
use rand::Rng;
use route::placement::Rate;
use schema::member::Member;
use tokio::sync::mpsc::{Receiver, channel};
use tokio::time::{Instant, sleep, sleep_until};

use super::following::follow_watchers;
use super::join::{FOLLOW_METHOD, Message, REPORT_METHOD, UPDATE_METHOD, join};
use super::report::{Answer, Report, Scope, Spending, Update};
use super::reports::Reports;
use super::topology::{Peer, Topology};
use crate::adapter::{Dialect, Objects};
use crate::limits::{refund_peer, rule_for_peer};
use crate::relay::{Known, Reply};
use crate::shared::Shared;
use crate::usage::{Counts, Snapshot};

/// interval between two reports to the same peer in small deployments
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// reports per second that a delegate answers, each with the loads of all VMs: a zone of 49 has one
/// round a second
const MAX_ANSWERS_PER_SECOND: f64 = 50.0;

/// reports per second of a daemon in a small deployment, which has no delegates
const MAX_REPORTS_PER_SECOND: f64 = 12.0;

/// interval between two exchanges of sums between zones
const ZONE_SUM_INTERVAL: Duration = Duration::from_millis(800);

/// time for which drain notices are batched before they are sent: VMs stop in groups
const UPDATE_BATCH_TIME: Duration = Duration::from_millis(10);

/// time limit of a call to a peer
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// usage windows in a full report: the current one and those not yet reported
const FULL_REPORT_WINDOWS: usize = 3;

/// interval between two full reports; other reports have only the current usage window, which
/// suffices because a window is reported some seconds after its end
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(900);

/// capacity of the queue of received messages
const QUEUE_CAPACITY: usize = 256;

/// state received from the other daemons, shared by the tasks of one thread
pub struct Peers {
    reports: RefCell<Reports>,
    node: RefCell<Option<Node>>,
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
            *sum.entry(workspace.clone()).or_default() += count;
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

    /// longest time until the counts of all daemons have arrived at one that receives the sums of
    /// the zones
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
    fn receive<D: Dialect>(&self, shared: &Shared<D>, report: Report) {
        let now = Instant::now();
        if report.scope != Scope::Zone && report.time_ms > 0 {
            for (name, time_ms) in &report.times_ms {
                shared.wall_clock.add_peer(name, *time_ms);
            }
            shared.wall_clock.add_peer(&report.from, report.time_ms);
        }
        let mut reports = self.reports.borrow_mut();
        let mut placement = shared.placement.borrow_mut();
        if let Some(report) = reports.receive(report, now) {
            placement.set_peer_loads(&report.from, report.loads.clone(), now);
            placement.add_peer_prefills(&report.prefills, now);
        }
    }

    /// the sum of all daemons but the one that sent this report, if this daemon collects them
    fn others(&self, receiver: &Report) -> Option<Box<Report>> {
        let mut reports = self.reports.borrow_mut();
        let is_asked = receiver.wants_others && reports.topology().is_delegate();
        is_asked.then(|| Box::new(reports.others(receiver, Instant::now())))
    }

    /// updates this daemon's share of each limit from the spending and demand of all daemons
    fn rebalance<D: Dialect>(&self, shared: &Shared<D>, elapsed: Duration) {
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

/// longest time until the counts of all daemons have arrived at one that receives the sums of the
/// zones
pub fn counts_age(topology: &Topology) -> Duration {
    report_interval(topology) + ZONE_SUM_INTERVAL + CALL_TIMEOUT
}

/// interval between two reports of a daemon to the same peer
pub fn report_interval(topology: &Topology) -> Duration {
    let per_second = if topology.has_remote_zones() {
        MAX_ANSWERS_PER_SECOND
    } else {
        MAX_REPORTS_PER_SECOND
    };
    let seconds = topology.group_peers().len() as f64 / per_second;
    REPORT_INTERVAL.max(Duration::from_secs_f64(seconds))
}

/// joins the other daemons and exchanges reports for as long as the process runs
pub async fn exchange_reports<D: Dialect, S: Objects>(
    shared: Rc<Shared<D>>,
    store: Rc<S>,
    peers: Rc<Peers>,
) {
    let (sender, queue) = channel(QUEUE_CAPACITY);
    let (node, registered, entries) = join(&shared, &*store, sender).await;
    peers
        .reports
        .borrow_mut()
        .set_registered(registered, Instant::now());
    *peers.node.borrow_mut() = Some(node.clone());
    shared.owners.set_node(node.clone());
    let reporter = Reporter {
        shared: Rc::clone(&shared),
        peers: Rc::clone(&peers),
        node,
        registered,
        instance: rand::rng().random::<u32>().into(),
        start: Instant::now(),
        asked: Cell::default(),
    };
    let receiving = receive(&shared, &peers, queue);
    let call = async |name: &str, known: &Known, timeout: Duration| {
        follow(&reporter.node, name, known, timeout).await
    };
    let following = follow_watchers(&shared, &*store, || peers.topology(), call);
    let rewriting = entries.rewrite_after_restores(&shared, &*store);
    tokio::join!(
        receiving,
        reporter.run(),
        reporter.run_updates(),
        following,
        rewriting
    );
}

/// asks a daemon for its view of the store; none if it is no member or does not answer
async fn follow(node: &Node, name: &str, known: &Known, timeout: Duration) -> Option<Reply> {
    let members = node.members();
    let member = members.iter().find(|member| member.vm == name)?;
    let reply = node
        .call::<Known, Reply>(member, FOLLOW_METHOD, known, timeout)
        .await;
    match reply {
        Ok(reply) => Some(reply),
        Err(error) => {
            tracing::debug!(event = "peer_not_followed", peer = name, %error);
            None
        }
    }
}

/// applies messages from the peers
async fn receive<D: Dialect>(shared: &Shared<D>, peers: &Peers, mut queue: Receiver<Message>) {
    while let Some(message) = queue.recv().await {
        match message {
            Message::Report(report, reply) => {
                let others = peers.others(&report);
                peers.receive(shared, *report);
                if reply.send(others).is_err() {
                    tracing::debug!(event = "report_given_up");
                }
            }
            Message::Update(update) => {
                for (id, started_at_ms) in update.draining {
                    if shared.start_drain(&id, started_at_ms) {
                        tracing::info!(event = "vm_draining", vm = id, cause = "a peer states it");
                    }
                }
            }
            Message::Refund(charge) => refund_peer(shared, &charge),
            Message::Charge(charge, reply) => {
                if reply.send(rule_for_peer(shared, &charge)).is_err() {
                    tracing::debug!(event = "charge_given_up", workspace = charge.workspace);
                }
            }
        }
    }
}

/// sends reports and updates to the peers
struct Reporter<D: Dialect> {
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

impl<D: Dialect> Reporter<D> {
    /// sends periodic reports and rebalances the limits
    async fn run(&self) {
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
                let zone = self.peers.reports.borrow_mut().zone_sum(now);
                self.send(&members, topology.remote_delegates(), &zone)
                    .await;
            }
            self.send_report(&members, &topology, report).await;
            let now = Instant::now();
            self.peers.rebalance(&self.shared, now - rebalanced_at);
            rebalanced_at = now;
            sleep_until(next).await;
        }
    }

    fn set_report_interval(&self, interval: Duration) {
        let mut placement = self.shared.placement.borrow_mut();
        placement.set_report_interval(interval);
    }

    /// sends drain notices as soon as they occur
    async fn run_updates(&self) {
        loop {
            self.shared.drain_notices_ready.notified().await;
            sleep(UPDATE_BATCH_TIME).await;
            let draining = self.shared.drain_notices.take();
            let recipients = self
                .peers
                .reports
                .borrow()
                .topology()
                .group_peers()
                .to_vec();
            let update = Update { draining };
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
    }

    /// derives the topology from the membership and applies this daemon's roles in it
    fn topology(&self, members: &[Member]) -> Topology {
        let as_peer = |member: &Member| Peer {
            name: member.vm.clone(),
            zone: member.data_centre.clone(),
        };
        let all: Vec<Peer> = members.iter().map(as_peer).collect();
        let topology = Topology::new(as_peer(self.node.me()), &all);
        let role = topology.role();
        if self.shared.role.replace(role) != role {
            tracing::info!(event = "store_role", ?role, daemons = topology.daemons());
        }
        let mut reports = self.peers.reports.borrow_mut();
        reports.set_topology(topology.clone());
        let is_alone = topology.group_peers().is_empty() && self.registered > 1;
        if !is_alone {
            self.shared.is_joined.set(true);
        }
        drop(reports);
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
        Report {
            from: shared.settings.name.clone(),
            zone: shared.settings.zone.clone(),
            scope: Scope::Daemon,
            instance: self.instance,
            age_ms: u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX),
            time_ms: shared.wall_clock.now_ms(),
            loads,
            spending,
            prefills,
            rates,
            counts: Snapshot { windows },
            ..Report::default()
        }
    }
}
