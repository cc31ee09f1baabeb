use std::collections::HashMap;
use std::time::Duration;

use route::rollout::{Evidence, Remaining};
use tokio::time::Instant;

use super::message::Progress;
use crate::peers::{Report, Scope, Topology};

/// age of a report up to which what it says of requests in flight is current
const MAX_REPORT_AGE: Duration = Duration::from_millis(2500);

/// age of a sender's own view that is not added to that of its report: reports between zones take
/// about as long
const USUAL_VIEW_AGE: Duration = Duration::from_millis(1800);

/// who has sent a report: a process of a daemon, or any delegate for several daemons
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Key {
    from: String,
    instance: u64,
}

/// latest report of a sender
#[derive(Debug, Clone)]
struct Source {
    at: Instant,
    scope: Scope,
    zone: String,
    progress: Progress,
    /// all evidence of the sender
    evidence: Evidence,
}

/// reports of the other daemons on one roll-out
///
/// Those of a process that has ended are kept for their evidence, which its successor does not have.
#[derive(Debug, Default)]
pub(super) struct Sources {
    by_sender: HashMap<Key, Source>,
}

/// which evidence is wanted
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Part {
    /// none
    None,
    /// that of requests from a second on
    Since(u32),
    /// all
    All,
}

impl Part {
    /// adds this part of some evidence to a sum
    pub fn add(self, evidence: &Evidence, sum: &mut Evidence) {
        match self {
            Part::None => {}
            Part::Since(second) => sum.add(&evidence.since(second)),
            Part::All => sum.add(evidence),
        }
    }
}

/// sum over some daemons
#[derive(Debug, Default)]
pub(super) struct Sum {
    pub evidence: Evidence,
    pub daemons: u32,
    pub remaining: Remaining,
}

impl Sources {
    /// stores a report
    pub fn receive(&mut self, report: &Report, progress: &Progress, now: Instant) {
        let is_daemon = report.scope == Scope::Daemon;
        let key = Key {
            from: report.from.clone(),
            // any delegate sends the same sums
            instance: if is_daemon { report.instance } else { 0 },
        };
        if is_daemon {
            for (other, source) in &mut self.by_sender {
                if other.from == key.from && *other != key {
                    source.progress.daemons = 0;
                }
            }
        }
        let before = self.by_sender.remove(&key);
        let mut evidence = before.map(|source| source.evidence).unwrap_or_default();
        evidence.replace(&progress.evidence);
        let source = Source {
            at: now,
            scope: report.scope,
            zone: report.zone.clone(),
            progress: Progress {
                evidence: Evidence::default(),
                ..progress.clone()
            },
            evidence,
        };
        self.by_sender.insert(key, source);
    }

    /// adds the reports that are accepted to a sum
    pub fn add_to(
        &self,
        sum: &mut Sum,
        accepts: impl Fn(&Sender<'_>) -> bool,
        part: Part,
        now: Instant,
    ) {
        for (key, source) in &self.by_sender {
            let sender = Sender {
                from: &key.from,
                instance: key.instance,
                scope: source.scope,
                zone: &source.zone,
            };
            if !accepts(&sender) {
                continue;
            }
            part.add(&source.evidence, &mut sum.evidence);
            let progress = &source.progress;
            if progress.daemons == 0 || source.is_old(now) {
                continue;
            }
            sum.daemons = sum.daemons.saturating_add(progress.daemons);
            let remaining = &mut sum.remaining;
            remaining.sending = remaining.sending.saturating_add(progress.sending);
            remaining.bound = remaining.bound.saturating_add(progress.bound);
            remaining.repeatable = remaining.repeatable.saturating_add(progress.repeatable);
        }
    }

    /// time since the state of more than half of the daemons was known
    pub fn age(&self, topology: &Topology, now: Instant) -> Duration {
        let sources = self.by_sender.iter().filter(|(key, source)| {
            let sender = Sender {
                from: &key.from,
                instance: key.instance,
                scope: source.scope,
                zone: &source.zone,
            };
            sender.is_accepted(topology) && source.progress.daemons > 0
        });
        let mut ages: Vec<(Duration, u32)> = sources
            .map(|(_, source)| (source.view_age(now), source.progress.daemons))
            .collect();
        ages.sort();
        // this daemon knows its own state
        let mut known = 1;
        let needed = topology.daemons() / 2 + 1;
        if known >= needed {
            return Duration::ZERO;
        }
        for (age, daemons) in ages {
            known += daemons as usize;
            if known >= needed {
                return age;
            }
        }
        Duration::MAX
    }
}

impl Source {
    fn is_old(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= MAX_REPORT_AGE
    }

    fn view_age(&self, now: Instant) -> Duration {
        let stated = Duration::from_millis(self.progress.age_ms).saturating_sub(USUAL_VIEW_AGE);
        let stated = match self.scope {
            // these count only daemons whose reports are current
            Scope::Daemon | Scope::Zone => Duration::ZERO,
            Scope::Others => stated,
        };
        now.saturating_duration_since(self.at)
            .saturating_add(stated)
    }
}

/// who has sent a report, and on whose behalf
#[derive(Debug, Clone, Copy)]
pub(super) struct Sender<'a> {
    pub from: &'a str,
    pub instance: u64,
    pub scope: Scope,
    pub zone: &'a str,
}

impl Sender<'_> {
    /// whether the report counts in this topology, where each daemon is counted once
    pub fn is_accepted(&self, topology: &Topology) -> bool {
        topology.accepts_from(self.scope, self.zone)
    }
}
