use std::collections::HashMap;
use std::time::Duration;

use route::placement::{Prefill, Rate};
use route::quota::PeerSpending;
use tokio::time::Instant;

use super::plan::{Peer, Plan};
use super::tell::{Scope, Spending, Tell};
use crate::usage::{self, Counts};

/// age of a process up to which all that it spent is taken to be recent when it is heard
/// for the first time
const RECENT_MS: u64 = 5000;

/// time without a word after which a peer is taken to go on spending as it last asked
const SILENCE: Duration = Duration::from_secs(2);

/// time for which what a silent peer asked for is still counted: a peer that is cut off
/// goes on spending its share
const DEMAND_AGE: Duration = Duration::from_secs(10);

/// time after which what a silent peer has under way is not passed on
const LOAD_AGE: Duration = Duration::from_millis(2500);

/// time for which the counts of a silent peer are kept for reports
const COUNTS_AGE: Duration = Duration::from_secs(30);

/// windows of usage that are kept of a peer
const WINDOWS_KEPT: usize = 6;

/// hints that wait to be passed on
const READS_MOST: usize = 512;

/// a message and when it came
#[derive(Debug, Clone)]
struct Heard {
    at: Instant,
    tell: Tell,
}

/// time after the start in which daemons that are registered may not have been heard yet
const JOINING: Duration = Duration::from_millis(2000);

/// what is known of the other daemons
#[derive(Debug)]
pub struct Book {
    plan: Plan,
    /// daemons that have registered, gone ones included, and since when this is known
    registered: Option<(usize, Instant)>,
    heard: HashMap<String, Heard>,
    /// units that others spent and that are not divided yet, by workspace
    spent: HashMap<String, f64>,
    /// units that others of this zone, and other zones, spent since the start
    zone_spent: HashMap<String, f64>,
    elsewhere_spent: HashMap<String, f64>,
    /// hints to pass on to other zones, and to this one
    zone_reads: Vec<Prefill>,
    elsewhere_reads: Vec<Prefill>,
}

impl Book {
    /// a daemon that knows of no other
    pub fn new(me: Peer) -> Book {
        Book {
            plan: Plan::new(me, &[]),
            registered: None,
            heard: HashMap::new(),
            spent: HashMap::new(),
            zone_spent: HashMap::new(),
            elsewhere_spent: HashMap::new(),
            zone_reads: Vec::new(),
            elsewhere_reads: Vec::new(),
        }
    }

    /// who tells whom
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// follows a change of who is there
    pub fn set_plan(&mut self, plan: Plan) {
        self.plan = plan;
    }

    /// takes in how many daemons have registered, this one included
    pub fn set_registered(&mut self, daemons: usize, now: Instant) {
        self.registered = Some((daemons, now));
    }

    /// number of daemons that share the limits
    pub fn daemons(&self, now: Instant) -> usize {
        let known = self.plan.daemons();
        match self.registered {
            Some((daemons, at)) if now < at + JOINING => known.max(daemons),
            _ => known,
        }
    }

    /// takes in a message; returns the parts of it that count
    pub fn hear(&mut self, tell: Tell, now: Instant) -> Vec<&Tell> {
        let mut tell = tell;
        let elsewhere = tell.elsewhere.take();
        let mut names = Vec::new();
        for part in [Some(tell), elsewhere.map(|part| *part)]
            .into_iter()
            .flatten()
        {
            if self.plan.takes(&part) {
                names.push(part.from.clone());
                self.take(part, now);
            }
        }
        self.heard.retain(|_, heard| now < heard.at + COUNTS_AGE);
        names
            .iter()
            .filter_map(|name| Some(&self.heard.get(name)?.tell))
            .collect()
    }

    /// requests of a window by workspace, over the other daemons
    pub fn counts(&self, window: u64) -> Counts {
        usage::sum(self.heard.values().map(|heard| &heard.tell.counts), window)
    }

    /// work per second that callers bring to a service, over the other daemons
    pub fn rate(&self, service: &str, now: Instant) -> Rate {
        let mut sum = Rate::default();
        for heard in self.current(now) {
            if let Some(rate) = heard.tell.rates.get(service) {
                sum.add(rate);
            }
        }
        sum
    }

    /// units per second that callers ask of the other daemons for a workspace
    pub fn demand(&self, workspace: &str, now: Instant) -> f64 {
        let heard = self.current(now);
        let spending = heard.filter_map(|heard| heard.tell.spending.get(workspace));
        spending.map(|spending| spending.demand).sum()
    }

    /// what the others spent of a workspace's limit since the last call, and ask for
    pub fn others(&mut self, workspace: &str, passed: Duration, now: Instant) -> PeerSpending {
        let mut others = PeerSpending {
            spent: self.spent.remove(workspace).unwrap_or_default(),
            demand: 0.0,
            daemons: self.daemons(now),
            is_partial: self.daemons(now) > self.plan.daemons(),
        };
        for heard in self.current(now) {
            let Some(spending) = heard.tell.spending.get(workspace) else {
                continue;
            };
            others.demand += spending.demand;
            if now > heard.at + SILENCE {
                others.spent += spending.demand * passed.as_secs_f64();
            }
        }
        others
    }

    /// the sum of this daemon's zone, from its own part
    pub fn zone(&mut self, own: &Tell, now: Instant) -> Tell {
        let mut sum = Tell {
            from: format!("zone/{}", own.zone),
            zone: own.zone.clone(),
            scope: Scope::Zone,
            instance: own.instance,
            age_ms: own.age_ms,
            reads: std::mem::take(&mut self.zone_reads),
            ..Tell::default()
        };
        sum.reads.extend(own.reads.iter().cloned());
        sum.add(own);
        self.add_all(&mut sum, Scope::Daemon, now);
        spent_of(&mut sum, &self.zone_spent);
        for (workspace, spending) in &own.spending {
            sum.spending.entry(workspace.clone()).or_default().spent += spending.spent;
        }
        sum
    }

    /// the sum of the other zones
    pub fn elsewhere(&mut self, own: &Tell, now: Instant) -> Tell {
        let mut sum = Tell {
            from: "elsewhere".to_owned(),
            zone: own.zone.clone(),
            scope: Scope::Elsewhere,
            instance: own.instance,
            age_ms: own.age_ms,
            reads: std::mem::take(&mut self.elsewhere_reads),
            ..Tell::default()
        };
        self.add_all(&mut sum, Scope::Zone, now);
        spent_of(&mut sum, &self.elsewhere_spent);
        sum
    }

    fn take(&mut self, tell: Tell, now: Instant) {
        let before = self.heard.remove(&tell.from);
        for (workspace, spending) in &tell.spending {
            let more = newly_spent(&tell, before.as_ref(), workspace, spending);
            *self.spent.entry(workspace.clone()).or_default() += more;
            let sum = match tell.scope {
                Scope::Daemon => &mut self.zone_spent,
                Scope::Zone => &mut self.elsewhere_spent,
                Scope::Elsewhere => continue,
            };
            *sum.entry(workspace.clone()).or_default() += more;
        }
        let reads = match tell.scope {
            Scope::Daemon => &mut self.zone_reads,
            Scope::Zone | Scope::Elsewhere => &mut self.elsewhere_reads,
        };
        if self.plan.passes_on() && reads.len() < READS_MOST {
            reads.extend(tell.reads.iter().cloned());
        }
        let mut tell = tell;
        if let Some(before) = before {
            tell.keep_counts(before.tell, WINDOWS_KEPT);
        }
        self.heard
            .insert(tell.from.clone(), Heard { at: now, tell });
    }

    fn current(&self, now: Instant) -> impl Iterator<Item = &Heard> {
        self.heard
            .values()
            .filter(move |heard| now < heard.at + DEMAND_AGE)
    }

    fn add_all(&self, sum: &mut Tell, scope: Scope, now: Instant) {
        for heard in self
            .heard
            .values()
            .filter(|heard| heard.tell.scope == scope)
        {
            if now < heard.at + LOAD_AGE {
                sum.add(&heard.tell);
            } else {
                let counts = Tell {
                    counts: heard.tell.counts.clone(),
                    ..Tell::default()
                };
                sum.add(&counts);
            }
        }
    }
}

/// what a peer spent since it was last heard
fn newly_spent(tell: &Tell, before: Option<&Heard>, workspace: &str, now: &Spending) -> f64 {
    match before {
        Some(before) if before.tell.instance == tell.instance => {
            let known = before.tell.spending.get(workspace);
            (now.spent - known.map_or(0.0, |known| known.spent)).max(0.0)
        }
        _ if tell.age_ms > RECENT_MS => 0.0,
        _ => now.spent,
    }
}

fn spent_of(sum: &mut Tell, spent: &HashMap<String, f64>) {
    for (workspace, spent) in spent {
        sum.spending.entry(workspace.clone()).or_default().spent = *spent;
    }
}
