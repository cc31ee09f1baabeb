use std::collections::HashMap;

use macro_rules_attribute::apply;
use route::fairness::Demands;
use route::notice::Notice;
use route::placement::{Load, Measurement, Prefill, Rate, Slowness};
use route::quarantine::{Evidence, Mark};
use schema::message;

use crate::freshness::Confirmation;
use crate::rollout::{Progress, Stop};
use crate::usage::Snapshot;

/// which daemons a report covers
#[apply(message!)]
#[derive(Copy, Eq, Default)]
pub enum Scope {
    /// one daemon
    #[default]
    Daemon,
    /// all daemons of a zone
    Zone,
    /// all daemons but the receiver
    Others,
}

/// spending of a workspace
///
/// Serialised as a pair of whole units.
#[apply(message!)]
#[derive(Copy, Default)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Spending {
    /// units per second that callers request
    pub demand: f64,
    /// units spent since the start of the reporting daemon
    pub spent: f64,
}

impl From<(u64, u64)> for Spending {
    fn from((demand, spent): (u64, u64)) -> Spending {
        Spending {
            demand: demand as f64,
            spent: spent as f64,
        }
    }
}

impl From<Spending> for (u64, u64) {
    fn from(spending: Spending) -> (u64, u64) {
        (
            spending.demand.round() as u64,
            spending.spent.round() as u64,
        )
    }
}

/// changes that a peer has to receive at once
#[apply(message!)]
#[derive(Default)]
pub struct Update {
    /// what VMs stated about themselves
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notices: Vec<Notice>,
    /// crashes and quarantined parts
    #[serde(default, skip_serializing_if = "Evidence::is_empty")]
    pub evidence: Evidence,
    /// versions that get no requests
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<Stop>,
}

impl Update {
    /// whether there is nothing to send
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty() && self.evidence.is_empty() && self.stops.is_empty()
    }
}

/// answer to a report
#[apply(message!)]
#[derive(Default)]
pub struct Answer {
    /// what the answering daemon knows of the configuration
    pub confirmation: Option<Confirmation>,
    /// the sum of all daemons but the receiver, if it was asked for
    pub others: Option<Box<Report>>,
}

/// periodic report of a daemon, or the sum of several
#[apply(message!)]
#[derive(Default)]
pub struct Report {
    /// sender: the daemon's name, `zone/` and a zone, or `others`
    pub from: String,
    /// zone of the sending daemon
    pub zone: String,
    /// which daemons it covers
    pub scope: Scope,
    /// random number of the sending process, whose totals restart with it
    pub instance: u64,
    /// time since that process started, milliseconds
    pub age_ms: u64,
    /// its estimate of the time of day, milliseconds since the Unix epoch
    #[serde(default)]
    pub time_ms: u64,
    /// in-flight load by VM
    pub loads: HashMap<String, Load>,
    /// demand and spending by workspace
    pub spending: HashMap<String, Spending>,
    /// prompt parts that VMs have begun to prefill; sent once, may be lost
    #[serde(rename = "reads")]
    pub prefills: Vec<Prefill>,
    /// requested work per second by service
    pub rates: HashMap<String, Rate>,
    /// measured times of engines by service
    #[serde(default, skip_serializing_if = "HashMap::is_empty")]
    pub engines: HashMap<String, Measurement>,
    /// the same, with times that contain queueing
    #[serde(default, skip_serializing_if = "HashMap::is_empty")]
    pub rough_engines: HashMap<String, Measurement>,
    /// VMs that are slow
    #[serde(default, skip_serializing_if = "HashMap::is_empty")]
    pub slow: HashMap<String, Slowness>,
    /// requested and refused work by service and workspace
    #[serde(default, skip_serializing_if = "HashMap::is_empty")]
    pub demands: Demands,
    /// requests begun, by window and workspace
    pub counts: Snapshot,
    /// whether the receiver is to answer with the reports of all other daemons
    #[serde(default)]
    pub wants_others: bool,
    /// what VMs stated about themselves and is in force
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notices: Vec<Notice>,
    /// quarantined parts of prompts
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub marks: Vec<Mark>,
    /// times of day at other daemons of the zone, for a process that has just started
    #[serde(default)]
    pub times_ms: HashMap<String, u64>,
    /// roll-outs in progress
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<Progress>,
    /// versions that get no requests
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<Stop>,
}

impl Report {
    /// adds another report, except for the totals spent: they can't be added, since processes
    /// start at different times
    pub fn add(&mut self, other: &Report) {
        for (vm, load) in &other.loads {
            self.loads.entry(vm.clone()).or_default().add(load);
        }
        for (service, rate) in &other.rates {
            self.rates.entry(service.clone()).or_default().add(rate);
        }
        for (vm, slowness) in &other.slow {
            let slowest = self.slow.entry(vm.clone()).or_insert(*slowness);
            *slowest = slowest.max(*slowness);
        }
        add_measurements(&mut self.engines, &other.engines);
        add_measurements(&mut self.rough_engines, &other.rough_engines);
        for (service, workspaces) in &other.demands {
            let sums = self.demands.entry(service.clone()).or_default();
            for (workspace, demand) in workspaces {
                sums.entry(workspace.clone()).or_default().add(demand);
            }
        }
        for (workspace, spending) in &other.spending {
            let sum = self.spending.entry(workspace.clone()).or_default();
            sum.demand += spending.demand;
        }
        for (window, counts) in &other.counts.windows {
            let sums = self.counts.windows.entry(*window).or_default();
            for (workspace, count) in counts {
                let sum = sums.entry(workspace.clone()).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
    }

    /// merges the counts of the previous report, which would be lost when the sender restarts,
    /// and keeps the latest `windows`
    pub fn keep_counts(&mut self, previous: Report, windows: usize) {
        for (window, counts) in previous.counts.windows {
            let merged = self.counts.windows.entry(window).or_default();
            for (workspace, count) in counts {
                let merged = merged.entry(workspace).or_default();
                *merged = (*merged).max(count);
            }
        }
        while self.counts.windows.len() > windows {
            self.counts.windows.pop_first();
        }
    }
}

/// adds measurements to sums by service
pub(super) fn add_measurements(
    sums: &mut HashMap<String, Measurement>,
    measurements: &HashMap<String, Measurement>,
) {
    for (service, measured) in measurements {
        sums.entry(service.clone()).or_default().add(measured);
    }
}
