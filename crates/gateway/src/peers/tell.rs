use std::collections::HashMap;

use macro_rules_attribute::apply;
use route::placement::{Load, Prefill, Rate};
use schema::message;

use crate::follow::Change;
use crate::usage::Told;

/// whose sum a message is
#[apply(message!)]
#[derive(Copy, Eq, Default)]
pub enum Scope {
    /// one daemon's
    #[default]
    Daemon,
    /// that of all daemons of a zone
    Zone,
    /// that of all other zones
    Elsewhere,
}

/// a workspace's spending
///
/// Travels as whole units.
#[apply(message!)]
#[derive(Copy, Default)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Spending {
    /// units per second that callers ask for
    pub demand: f64,
    /// units spent since the start of the daemon that tells
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

/// what another daemon has to hear at once
#[apply(message!)]
#[derive(Default)]
pub struct News {
    /// VMs that come and leave
    pub vms: Vec<Change>,
}

/// what one daemon tells another in turn
#[apply(message!)]
#[derive(Default)]
pub struct Tell {
    /// the daemon's name, or the zone's
    pub from: String,
    /// the daemon's zone
    pub zone: String,
    /// whose sum this is
    pub scope: Scope,
    /// random number of the process that tells, as sums begin anew with it
    pub instance: u64,
    /// time since that process started
    pub age_ms: u64,
    /// what is under way, by VM
    pub loads: HashMap<String, Load>,
    /// what callers ask for and have spent, by workspace
    pub spending: HashMap<String, Spending>,
    /// which VMs have begun to read what; a hint that may be lost
    pub reads: Vec<Prefill>,
    /// work per second that callers bring, by service
    pub rates: HashMap<String, Rate>,
    /// requests that began, by window and workspace
    pub counts: Told,
    /// the sum of all other zones, from the daemon that exchanges for its zone
    pub elsewhere: Option<Box<Tell>>,
}

impl Tell {
    /// adds what another message says, but for what was spent, which is not a sum of
    /// sums: processes start at different times
    pub fn add(&mut self, other: &Tell) {
        for (vm, load) in &other.loads {
            self.loads.entry(vm.clone()).or_default().add(load);
        }
        for (service, rate) in &other.rates {
            self.rates.entry(service.clone()).or_default().add(rate);
        }
        for (workspace, spending) in &other.spending {
            let known = self.spending.entry(workspace.clone()).or_default();
            known.demand += spending.demand;
        }
        for (window, counts) in &other.counts.windows {
            let known = self.counts.windows.entry(*window).or_default();
            for (workspace, count) in counts {
                *known.entry(workspace.clone()).or_default() += count;
            }
        }
    }

    /// keeps the counts that a former message had; a restart would lose them
    pub fn keep_counts(&mut self, before: Tell, windows: usize) {
        for (window, counts) in before.counts.windows {
            let kept = self.counts.windows.entry(window).or_default();
            for (workspace, count) in counts {
                let known = kept.entry(workspace).or_default();
                *known = (*known).max(count);
            }
        }
        while self.counts.windows.len() > windows {
            self.counts.windows.pop_first();
        }
    }
}
