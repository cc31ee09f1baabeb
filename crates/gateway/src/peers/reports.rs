use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use route::placement::{Measurement, Prefill, Rate};
use route::quota::PeerSpending;
use tokio::time::Instant;

use super::report::{Report, Scope, Spending, add_measurements};
use super::topology::{Peer, Topology};
use crate::usage::{self, Counts};

/// process age up to which the total of a peer's first report counts as spent recently
const MAX_NEW_AGE_MS: u64 = 5000;

/// time without a report after which a peer is assumed to spend at its last reported demand
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// time for which the last reported demand of a peer counts: a partitioned peer keeps spending
/// its share
const DEMAND_TTL: Duration = Duration::from_secs(10);

/// time for which the last reported load of a peer is included in sums
const LOAD_TTL: Duration = Duration::from_millis(2500);

/// time for which the last reported usage counts of a peer are kept
const COUNTS_RETENTION: Duration = Duration::from_secs(30);

/// usage windows kept for each peer
const MAX_WINDOWS: usize = 6;

/// limit of prefills queued to be forwarded
const MAX_QUEUED_PREFILLS: usize = 512;

/// a report and the time at which it arrived
#[derive(Debug, Clone)]
struct Received {
    at: Instant,
    report: Report,
    /// units that the sender spent since its first report, over its restarts
    spent: HashMap<String, f64>,
}

/// time after the start in which registered daemons may still be missing from the membership
const JOIN_TIME: Duration = Duration::from_millis(2000);

/// latest reports of the peers, and sums over them
#[derive(Debug)]
pub struct Reports {
    topology: Topology,
    /// number of registered daemons, terminated ones included, and when it was read
    registered: Option<(usize, Instant)>,
    received: HashMap<String, Received>,
    /// this daemon's last report
    local: Report,
    /// units spent by peers since the last [`Reports::peer_spending`], by workspace
    spent: HashMap<String, f64>,
    /// prefills to forward to remote zones
    zone_prefills: Vec<Prefill>,
    /// prefills to forward to the daemons of this zone, of which the oldest has this number
    prefills: VecDeque<(String, Prefill)>,
    first_prefill: u64,
    /// number of the first prefill that a daemon of this zone has not been told
    told_prefills: HashMap<String, u64>,
}

impl Reports {
    /// creates the state of a daemon without peers
    pub fn new(me: Peer) -> Reports {
        Reports {
            topology: Topology::new(me, &[]),
            registered: None,
            received: HashMap::new(),
            local: Report::default(),
            spent: HashMap::new(),
            zone_prefills: Vec::new(),
            prefills: VecDeque::new(),
            first_prefill: 0,
            told_prefills: HashMap::new(),
        }
    }

    /// the current topology
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// replaces the topology after a membership change; reports that no longer come on this path are
    /// dropped, so that no daemon is counted twice
    pub fn set_topology(&mut self, topology: Topology) {
        let was_delegate = self.topology.is_delegate();
        self.topology = topology;
        if was_delegate != self.topology.is_delegate() {
            let topology = &self.topology;
            self.received
                .retain(|_, received| topology.accepts(&received.report));
        }
    }

    /// sets the number of registered daemons, this one included
    pub fn set_registered(&mut self, daemons: usize, now: Instant) {
        self.registered = Some((daemons, now));
    }

    /// number of daemons that share the limits
    pub fn daemons(&self, now: Instant) -> usize {
        let members = self.topology.daemons();
        match self.registered {
            Some((daemons, at)) if now < at + JOIN_TIME => members.max(daemons),
            _ => members,
        }
    }

    /// sets this daemon's own report, which the sums include
    pub fn set_local(&mut self, report: Report) {
        if self.topology.is_delegate() {
            self.queue_prefills(&report.from, &report.prefills);
        }
        if self.topology.forwards_sums() {
            self.queue_zone_prefills(&report.prefills);
        }
        self.local = report;
    }

    /// stores a report if it counts; returns it then
    pub fn receive(&mut self, report: Report, now: Instant) -> Option<&Report> {
        self.received
            .retain(|_, received| now < received.at + COUNTS_RETENTION);
        if !self.topology.accepts(&report) {
            return None;
        }
        let from = report.from.clone();
        self.store(report, now);
        self.received.get(&from).map(|received| &received.report)
    }

    /// the peers' requests of a window by workspace
    pub fn counts(&self, window: u64) -> Counts {
        usage::sum(
            self.received
                .values()
                .map(|received| &received.report.counts),
            window,
        )
    }

    /// work per second that callers of the peers request from a service
    pub fn rate(&self, service: &str, now: Instant) -> Rate {
        let mut sum = Rate::default();
        for received in self.current(now) {
            if let Some(rate) = received.report.rates.get(service) {
                sum.add(rate);
            }
        }
        sum
    }

    /// what all daemons measured of engines, by service: without queueing, and in any case
    pub fn measurements(&self, now: Instant) -> [HashMap<String, Measurement>; 2] {
        let mut sums = self.local.engines.clone();
        let mut rough = self.local.rough_engines.clone();
        for received in self.current(now) {
            add_measurements(&mut sums, &received.report.engines);
            add_measurements(&mut rough, &received.report.rough_engines);
        }
        [sums, rough]
    }

    /// units per second that callers of the peers request for a workspace
    pub fn demand(&self, workspace: &str, now: Instant) -> f64 {
        let current = self.current(now);
        let spending = current.filter_map(|received| received.report.spending.get(workspace));
        spending.map(|spending| spending.demand).sum()
    }

    /// the peers' spending of a workspace's limit since the last call, and their demand
    pub fn peer_spending(
        &mut self,
        workspace: &str,
        elapsed: Duration,
        now: Instant,
    ) -> PeerSpending {
        let mut total = PeerSpending {
            spent: self.spent.remove(workspace).unwrap_or_default(),
            demand: 0.0,
            daemons: self.daemons(now),
            is_partial: self.daemons(now) > self.topology.daemons(),
        };
        for received in self.current(now) {
            let Some(spending) = received.report.spending.get(workspace) else {
                continue;
            };
            total.demand += spending.demand;
            if now > received.at + REPORT_TIMEOUT {
                total.spent += spending.demand * elapsed.as_secs_f64();
            }
        }
        total
    }

    /// the sum of this daemon's zone, which includes its own report
    pub fn zone_sum(&mut self, now: Instant) -> Report {
        let mut sum = Report {
            from: format!("zone/{}", self.local.zone),
            scope: Scope::Zone,
            prefills: std::mem::take(&mut self.zone_prefills),
            ..empty(&self.local)
        };
        let in_zone = |received: &&Received| received.report.scope == Scope::Daemon;
        self.add_all(&mut sum, in_zone, now);
        sum
    }

    /// the sum of all daemons but one of this zone
    pub fn others(&mut self, receiver: &Report, now: Instant) -> Report {
        let mut sum = Report {
            from: "others".to_owned(),
            scope: Scope::Others,
            time_ms: self.local.time_ms,
            prefills: self.take_prefills(&receiver.from),
            ..empty(&self.local)
        };
        let is_other = |received: &&Received| received.report.from != receiver.from;
        self.add_all(&mut sum, is_other, now);
        if receiver.age_ms <= MAX_NEW_AGE_MS {
            sum.times_ms = self.times_ms(now);
            sum.times_ms
                .insert(self.local.from.clone(), self.local.time_ms);
        }
        sum
    }

    /// queues prompt parts that VMs prefill for a daemon, to be told to the others of its zone
    fn queue_prefills(&mut self, from: &str, prefills: &[Prefill]) {
        for prefill in prefills {
            if self.prefills.len() >= MAX_QUEUED_PREFILLS {
                self.prefills.pop_front();
                self.first_prefill += 1;
            }
            self.prefills.push_back((from.to_owned(), prefill.clone()));
        }
    }

    /// queues prompt parts that VMs prefill for this zone, to be told to the remote zones
    fn queue_zone_prefills(&mut self, prefills: &[Prefill]) {
        if self.zone_prefills.len() < MAX_QUEUED_PREFILLS {
            self.zone_prefills.extend(prefills.iter().cloned());
        }
    }

    fn take_prefills(&mut self, receiver: &str) -> Vec<Prefill> {
        let end = self.first_prefill + self.prefills.len() as u64;
        let told = self.told_prefills.insert(receiver.to_owned(), end);
        let from = told.unwrap_or(end).max(self.first_prefill) - self.first_prefill;
        let new = self.prefills.iter().skip(from as usize);
        let of_others = new.filter(|(from, _)| from != receiver);
        of_others.map(|(_, prefill)| prefill.clone()).collect()
    }

    /// times of day at the daemons of this zone
    fn times_ms(&self, now: Instant) -> HashMap<String, u64> {
        let mut times = HashMap::new();
        for received in self.received.values() {
            let age = now.saturating_duration_since(received.at);
            if received.report.scope == Scope::Daemon && age < LOAD_TTL {
                let time_ms = received
                    .report
                    .time_ms
                    .saturating_add(age.as_millis() as u64);
                times.insert(received.report.from.clone(), time_ms);
            }
        }
        times
    }

    fn store(&mut self, report: Report, now: Instant) {
        let previous = self.received.remove(&report.from);
        let mut spent = HashMap::new();
        for (workspace, spending) in &report.spending {
            let more = newly_spent(&report, previous.as_ref(), workspace, spending);
            *self.spent.entry(workspace.clone()).or_default() += more;
            spent.insert(workspace.clone(), more);
        }
        if let Some(previous) = &previous {
            for (workspace, before) in &previous.spent {
                *spent.entry(workspace.clone()).or_default() += before;
            }
        }
        if self.topology.is_delegate() {
            if report.scope == Scope::Daemon && self.topology.forwards_sums() {
                self.queue_zone_prefills(&report.prefills);
            }
            self.queue_prefills(&report.from, &report.prefills);
        }
        let mut report = report;
        if let Some(previous) = previous {
            report.keep_counts(previous.report, MAX_WINDOWS);
        }
        let received = Received {
            at: now,
            report,
            spent,
        };
        self.received.insert(received.report.from.clone(), received);
    }

    /// reports recent enough to count as current demand
    fn current(&self, now: Instant) -> impl Iterator<Item = &Received> {
        self.received
            .values()
            .filter(move |received| now < received.at + DEMAND_TTL)
    }

    /// adds this daemon's report and those received from some; of outdated ones, only the usage
    /// counts and the totals spent
    fn add_all(&self, sum: &mut Report, is_included: impl Fn(&&Received) -> bool, now: Instant) {
        sum.add(&self.local);
        let mut spent: HashMap<&str, f64> = HashMap::new();
        for (workspace, spending) in &self.local.spending {
            *spent.entry(workspace).or_default() += spending.spent;
        }
        for received in self.received.values().filter(is_included) {
            for (workspace, units) in &received.spent {
                *spent.entry(workspace).or_default() += units;
            }
            if now < received.at + LOAD_TTL {
                sum.add(&received.report);
            } else {
                let counts = Report {
                    counts: received.report.counts.clone(),
                    ..Report::default()
                };
                sum.add(&counts);
            }
        }
        for (workspace, spent) in spent {
            sum.spending.entry(workspace.to_owned()).or_default().spent = spent;
        }
    }
}

/// an empty sum of the daemon that has this report
fn empty(local: &Report) -> Report {
    Report {
        zone: local.zone.clone(),
        instance: local.instance,
        age_ms: local.age_ms,
        notices: local.notices.clone(),
        marks: local.marks.clone(),
        ..Report::default()
    }
}

/// units that a peer spent between its previous report and this one
fn newly_spent(
    report: &Report,
    previous: Option<&Received>,
    workspace: &str,
    now: &Spending,
) -> f64 {
    match previous {
        Some(previous) if previous.report.instance == report.instance => {
            let before = previous.report.spending.get(workspace);
            (now.spent - before.map_or(0.0, |before| before.spent)).max(0.0)
        }
        _ if report.age_ms > MAX_NEW_AGE_MS => 0.0,
        _ => now.spent,
    }
}
