use std::collections::HashMap;
use std::time::Duration;

use route::placement::{Prefill, Rate};
use route::quota::PeerSpending;
use tokio::time::Instant;

use super::report::{Report, Scope, Spending};
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
    /// units spent by peers since the last [`Reports::peer_spending`], by workspace
    spent: HashMap<String, f64>,
    /// units spent since the start by peers of this zone, and by remote zones
    zone_spent: HashMap<String, f64>,
    remote_spent: HashMap<String, f64>,
    /// prefills to forward to remote zones, and to this zone
    zone_prefills: Vec<Prefill>,
    remote_prefills: Vec<Prefill>,
}

impl Reports {
    /// creates the state of a daemon without peers
    pub fn new(me: Peer) -> Reports {
        Reports {
            topology: Topology::new(me, &[]),
            registered: None,
            received: HashMap::new(),
            spent: HashMap::new(),
            zone_spent: HashMap::new(),
            remote_spent: HashMap::new(),
            zone_prefills: Vec::new(),
            remote_prefills: Vec::new(),
        }
    }

    /// the current topology
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// replaces the topology after a membership change
    pub fn set_topology(&mut self, topology: Topology) {
        self.topology = topology;
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

    /// stores a report and the one of the remote zones in it; returns the accepted ones
    pub fn receive(&mut self, report: Report, now: Instant) -> Vec<&Report> {
        let mut report = report;
        let remote = report.remote.take();
        let mut names = Vec::new();
        for part in [Some(report), remote.map(|part| *part)]
            .into_iter()
            .flatten()
        {
            if self.topology.accepts(&part) {
                names.push(part.from.clone());
                self.store(part, now);
            }
        }
        self.received
            .retain(|_, received| now < received.at + COUNTS_RETENTION);
        names
            .iter()
            .filter_map(|name| Some(&self.received.get(name)?.report))
            .collect()
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
    pub fn zone_sum(&mut self, local: &Report, now: Instant) -> Report {
        let mut sum = Report {
            from: format!("zone/{}", local.zone),
            zone: local.zone.clone(),
            scope: Scope::Zone,
            instance: local.instance,
            age_ms: local.age_ms,
            prefills: std::mem::take(&mut self.zone_prefills),
            ..Report::default()
        };
        sum.prefills.extend(local.prefills.iter().cloned());
        sum.add(local);
        self.add_all(&mut sum, Scope::Daemon, now);
        set_spent(&mut sum, &self.zone_spent);
        for (workspace, spending) in &local.spending {
            sum.spending.entry(workspace.clone()).or_default().spent += spending.spent;
        }
        sum
    }

    /// the sum of the remote zones
    pub fn remote_sum(&mut self, local: &Report, now: Instant) -> Report {
        let mut sum = Report {
            from: "elsewhere".to_owned(),
            zone: local.zone.clone(),
            scope: Scope::Remote,
            instance: local.instance,
            age_ms: local.age_ms,
            prefills: std::mem::take(&mut self.remote_prefills),
            ..Report::default()
        };
        self.add_all(&mut sum, Scope::Zone, now);
        set_spent(&mut sum, &self.remote_spent);
        sum
    }

    fn store(&mut self, report: Report, now: Instant) {
        let previous = self.received.remove(&report.from);
        for (workspace, spending) in &report.spending {
            let more = newly_spent(&report, previous.as_ref(), workspace, spending);
            *self.spent.entry(workspace.clone()).or_default() += more;
            let sum = match report.scope {
                Scope::Daemon => &mut self.zone_spent,
                Scope::Zone => &mut self.remote_spent,
                Scope::Remote => continue,
            };
            *sum.entry(workspace.clone()).or_default() += more;
        }
        let prefills = match report.scope {
            Scope::Daemon => &mut self.zone_prefills,
            Scope::Zone | Scope::Remote => &mut self.remote_prefills,
        };
        if self.topology.forwards_sums() && prefills.len() < MAX_QUEUED_PREFILLS {
            prefills.extend(report.prefills.iter().cloned());
        }
        let mut report = report;
        if let Some(previous) = previous {
            report.keep_counts(previous.report, MAX_WINDOWS);
        }
        self.received
            .insert(report.from.clone(), Received { at: now, report });
    }

    /// reports recent enough to count as current demand
    fn current(&self, now: Instant) -> impl Iterator<Item = &Received> {
        self.received
            .values()
            .filter(move |received| now < received.at + DEMAND_TTL)
    }

    /// adds all reports of a scope; of outdated ones, only the usage counts
    fn add_all(&self, sum: &mut Report, scope: Scope, now: Instant) {
        for received in self
            .received
            .values()
            .filter(|received| received.report.scope == scope)
        {
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

/// sets the totals spent, which [`Report::add`] leaves out
fn set_spent(sum: &mut Report, spent: &HashMap<String, f64>) {
    for (workspace, spent) in spent {
        sum.spending.entry(workspace.clone()).or_default().spent = *spent;
    }
}
