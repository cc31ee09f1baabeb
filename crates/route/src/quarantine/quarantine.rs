use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::change::Change;
use super::evidence::{Crash, Evidence, MAX_CAUSES, Mark};
use super::explanation::{Explanation, Search};
use super::times::{Threshold, crash_times};

/// time for which a part stays quarantined, and for which crashes and successes are remembered
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// time after the last necessary crash until the decision, in which the successes and the parts of
/// the other daemons arrive
pub const SETTLE_TIME: Duration = Duration::from_millis(600);

/// time after the last necessary crash until the part is refused for the time being: most of the
/// evidence of close daemons has arrived
const SUSPICION_MS: u64 = 150;

/// time after the begin of a successful response for which crashes do not count for its parts:
/// while all VMs are down, a part that is in most requests has no success either
const IMMUNITY_MS: u64 = 3000;

/// time after the begin of a response within which its VM's end counts as caused by it
pub const BEGIN_TIME: Duration = Duration::from_millis(1000);

/// time within which crashes of a VM are one if the start of its process is unknown
const SAME_CRASH_MS: u64 = 1000;

/// largest number of remembered crashes
const MAX_CRASHES: usize = 128;

/// largest number of remembered marks
const MAX_MARKS: usize = 256;

/// number of remembered successes above which the older half is dropped
const MAX_SUCCESSES: usize = 16_384;

/// crashes, successes and quarantined parts
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    crashes: Vec<Crash>,
    /// begin of the latest response by part, of this daemon's requests
    successes: HashMap<u64, u64>,
    marks: HashMap<u64, Mark>,
    /// parts that are refused until the decision, with the end of that time
    suspects: HashMap<u64, u64>,
    changes: Vec<Change>,
}

impl Quarantine {
    /// returns a state without crashes
    pub fn new() -> Quarantine {
        Quarantine::default()
    }

    /// time until a prompt with these parts is accepted again; none if it is accepted now
    pub fn refused_for(
        &self,
        parts: impl IntoIterator<Item = u64>,
        now_ms: u64,
    ) -> Option<Duration> {
        if self.marks.is_empty() && self.suspects.is_empty() {
            return None;
        }
        let ends = parts.into_iter().filter_map(|part| {
            let mark = self.marks.get(&part).filter(|mark| mark.is_active());
            let quarantine_end = mark.map(|mark| mark.quarantined_ms + quarantine_ms());
            quarantine_end.max(self.suspects.get(&part).copied())
        });
        let end = ends.max().filter(|end| now_ms < *end)?;
        Some(Duration::from_millis(end - now_ms))
    }

    /// records a crash that this daemon observed; returns what the other daemons have to receive
    pub fn record_crash(&mut self, crash: Crash, now_ms: u64) -> Evidence {
        let mut crash = crash;
        let immune_from = crash.at_ms.saturating_sub(IMMUNITY_MS);
        let is_suspicious = |id: &u64| self.successes.get(id).is_none_or(|at| *at < immune_from);
        crash.parts.retain(is_suspicious);
        crash.requests.retain(is_suspicious);
        let crashes: Vec<Crash> = self.add_crash(&crash, now_ms).into_iter().collect();
        let mut evidence = self.refutations();
        evidence.crashes = crashes;
        evidence
    }

    /// records a response that was begun with these parts and did not break; returns what the other
    /// daemons have to receive
    pub fn record_success(
        &mut self,
        parts: impl IntoIterator<Item = u64>,
        began_ms: u64,
    ) -> Evidence {
        let parts: Vec<u64> = parts.into_iter().collect();
        for part in &parts {
            let latest = self.successes.entry(*part).or_default();
            *latest = began_ms.max(*latest);
        }
        if self.successes.len() > MAX_SUCCESSES {
            self.drop_old_successes();
        }
        let is_concerned =
            |part: &u64| self.mark(*part).is_active() || self.is_near_suspicion(*part);
        let concerned = parts.into_iter().filter(is_concerned).collect();
        self.refute(&concerned)
    }

    /// merges the evidence of another daemon; returns what was new in it, and what this daemon has
    /// to say about it
    pub fn merge(&mut self, evidence: &Evidence, now_ms: u64) -> (Evidence, Evidence) {
        let mut news = Evidence::default();
        for crash in evidence.crashes.iter().take(MAX_CRASHES) {
            news.crashes.extend(self.add_crash(crash, now_ms));
        }
        for mark in evidence.marks.iter().take(MAX_MARKS) {
            news.marks.extend(self.add_mark(*mark, now_ms));
        }
        (news, self.refutations())
    }

    /// quarantines the parts that explain enough crashes; returns what the other daemons have to
    /// receive
    pub fn evaluate(&mut self, now_ms: u64) -> Evidence {
        self.forget(now_ms);
        let mut evidence = Evidence::default();
        for found in self.explanations(now_ms.saturating_sub(millis(SETTLE_TIME))) {
            let mut mark = self.mark(found.id);
            mark.is_request = found.is_request;
            mark.quarantined_ms = now_ms.max(mark.refuted_ms + 1);
            self.store(mark);
            evidence.marks.push(mark);
            self.changes.push(Change::quarantined(&mark, found.crashes));
        }
        self.suspect(now_ms);
        evidence
    }

    /// whether a crash is so recent that a later evaluation may decide otherwise
    pub fn is_unsettled(&self, now_ms: u64) -> bool {
        let settled_ms = now_ms.saturating_sub(millis(SETTLE_TIME));
        self.crashes.iter().any(|crash| crash.at_ms > settled_ms)
    }

    /// marks of the parts that are or were quarantined
    pub fn marks(&self) -> Vec<Mark> {
        let marks = self.marks.values();
        marks
            .filter(|mark| mark.quarantined_ms > 0)
            .copied()
            .collect()
    }

    /// number of quarantined parts
    pub fn len(&self) -> usize {
        self.marks.values().filter(|mark| mark.is_active()).count()
    }

    /// whether no part is quarantined
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// returns the changes since the last call
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// refuses the parts that will be quarantined unless other evidence arrives, until that is decided
    fn suspect(&mut self, now_ms: u64) {
        let end_ms = now_ms.saturating_add(millis(SETTLE_TIME));
        for found in self.explanations(now_ms.saturating_sub(SUSPICION_MS)) {
            self.suspects.entry(found.id).or_insert(end_ms);
        }
    }

    /// the parts and requests that explain the crashes up to a time, apart from those that are
    /// quarantined
    fn explanations(&self, until_ms: u64) -> Vec<Explanation> {
        let mut search = Search::new(self.crashes.iter(), until_ms);
        for mark in self.marks.values().filter(|mark| mark.is_active()) {
            search.explain(mark.id, mark.is_request);
        }
        let mut explanations = Vec::new();
        while let Some(found) = search.best(|id| self.refuted_ms(id)) {
            search.explain(found.id, found.is_request);
            explanations.push(found);
        }
        explanations
    }

    /// time up to which crashes do not count for a part
    fn refuted_ms(&self, part: u64) -> u64 {
        let marked = self.marks.get(&part).map_or(0, |mark| mark.refuted_ms);
        let succeeded = self.successes.get(&part);
        marked.max(succeeded.map_or(0, |at| at.saturating_add(IMMUNITY_MS)))
    }

    /// turns this daemon's successes into marks, for all parts that are quarantined or may be soon
    fn refutations(&mut self) -> Evidence {
        let quarantined = self.marks.values().filter(|mark| mark.is_active());
        let mut near: HashSet<u64> = quarantined.map(|mark| mark.id).collect();
        let parts = crash_times(&self.crashes, |crash| &crash.parts).into_iter();
        near.extend(parts.filter_map(|(id, times)| Threshold::PART.is_near(&times).then_some(id)));
        let requests = crash_times(&self.crashes, |crash| &crash.requests).into_iter();
        near.extend(
            requests.filter_map(|(id, times)| Threshold::REQUEST.is_near(&times).then_some(id)),
        );
        self.refute(&near)
    }

    /// turns this daemon's successes with these parts into marks
    fn refute(&mut self, parts: &HashSet<u64>) -> Evidence {
        let mut evidence = Evidence::default();
        for part in parts.iter().copied() {
            if self.is_full_for(part) {
                continue;
            }
            let refuted_ms = self.refuted_ms(part);
            let mut mark = self.mark(part);
            let is_news = refuted_ms > mark.refuted_ms;
            if is_news {
                self.suspects.remove(&part);
            }
            if !is_news || (mark.is_active() && refuted_ms < mark.quarantined_ms) {
                continue;
            }
            if mark.is_active() {
                self.changes.push(Change::released(&mark));
            }
            mark.refuted_ms = refuted_ms;
            self.store(mark);
            evidence.marks.push(mark);
        }
        evidence
    }

    /// whether one more crash may make a part or request a suspect
    fn is_near_suspicion(&self, id: u64) -> bool {
        let near = |threshold: Threshold, causes: fn(&Crash) -> &Vec<u64>| {
            let crashes = self.crashes.iter();
            let with_id = crashes.filter(|crash| causes(crash).contains(&id));
            let mut times: Vec<u64> = with_id.map(|crash| crash.at_ms).collect();
            times.sort_unstable();
            threshold.is_near(&times)
        };
        near(Threshold::PART, |crash| &crash.parts)
            || near(Threshold::REQUEST, |crash| &crash.requests)
    }

    /// adds a crash, or parts and requests to one that is known; returns what was new
    fn add_crash(&mut self, crash: &Crash, now_ms: u64) -> Option<Crash> {
        let mut news = crash.clone();
        news.at_ms = crash.at_ms.min(now_ms);
        for causes in [&mut news.parts, &mut news.requests] {
            causes.truncate(MAX_CAUSES);
            causes.sort_unstable();
            causes.dedup();
        }
        if now_ms - news.at_ms > quarantine_ms() {
            return None;
        }
        let known = self.crashes.iter_mut().find(|known| {
            let is_near = known.at_ms.abs_diff(news.at_ms) < SAME_CRASH_MS;
            known.vm == news.vm
                && known.started_at_ms == news.started_at_ms
                && (is_near || news.started_at_ms != 0)
        });
        if let Some(known) = known {
            add_causes(&mut known.parts, &mut news.parts);
            add_causes(&mut known.requests, &mut news.requests);
        } else if !news.is_without_causes() {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(news.clone());
        }
        (!news.is_without_causes()).then_some(news)
    }

    /// merges a mark; returns the result if it changed
    fn add_mark(&mut self, mark: Mark, now_ms: u64) -> Option<Mark> {
        let previous = self.mark(mark.id);
        // a success counts for some time in advance
        let limit = now_ms.saturating_add(IMMUNITY_MS);
        let merged = Mark {
            id: mark.id,
            is_request: previous.is_request || mark.is_request,
            quarantined_ms: previous.quarantined_ms.max(mark.quarantined_ms.min(limit)),
            refuted_ms: previous.refuted_ms.max(mark.refuted_ms.min(limit)),
        };
        let is_outdated = merged.changed_ms().saturating_add(quarantine_ms()) < now_ms;
        let is_left_out = !merged.is_active() && self.is_full_for(mark.id);
        if merged == previous || is_outdated || is_left_out {
            return None;
        }
        match (previous.is_active(), merged.is_active()) {
            (false, true) => self.changes.push(Change::quarantined(&merged, 0)),
            (true, false) => self.changes.push(Change::released(&merged)),
            _ => {}
        }
        if merged.refuted_ms > previous.refuted_ms {
            self.suspects.remove(&mark.id);
        }
        self.store(merged);
        Some(merged)
    }

    /// the mark of a part; an empty one if there is none
    fn mark(&self, id: u64) -> Mark {
        self.marks.get(&id).copied().unwrap_or(Mark {
            id,
            ..Mark::default()
        })
    }

    /// whether a mark of a part can only be stored in place of another
    fn is_full_for(&self, part: u64) -> bool {
        self.marks.len() >= MAX_MARKS && !self.marks.contains_key(&part)
    }

    /// stores a mark; if there are too many, the oldest one without a quarantine is dropped, or else
    /// the oldest one
    fn store(&mut self, mark: Mark) {
        if self.is_full_for(mark.id) {
            let oldest = self
                .marks
                .values()
                .min_by_key(|mark| (mark.is_active(), mark.changed_ms(), mark.id));
            if let Some(part) = oldest.map(|mark| mark.id) {
                self.marks.remove(&part);
            }
        }
        self.marks.insert(mark.id, mark);
    }

    /// drops what is older than the quarantine
    fn forget(&mut self, now_ms: u64) {
        let is_recent = |at_ms: u64| at_ms.saturating_add(quarantine_ms()) >= now_ms;
        self.crashes.retain(|crash| is_recent(crash.at_ms));
        self.suspects.retain(|_, end_ms| now_ms < *end_ms);
        let changes = &mut self.changes;
        self.marks.retain(|_, mark| {
            let is_kept = is_recent(mark.changed_ms());
            if !is_kept && mark.is_active() {
                changes.push(Change::released(mark));
            }
            is_kept
        });
    }

    fn drop_old_successes(&mut self) {
        let mut times: Vec<u64> = self.successes.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.successes.retain(|_, at| *at > median);
    }
}

/// adds causes that are not known yet, and leaves only these
fn add_causes(known: &mut Vec<u64>, news: &mut Vec<u64>) {
    news.retain(|cause| !known.contains(cause));
    news.truncate(MAX_CAUSES.saturating_sub(known.len()));
    known.extend(&*news);
}

fn quarantine_ms() -> u64 {
    millis(QUARANTINE_TIME)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
