//! Checks the promises against what was done and seen.

use std::collections::BTreeMap;
use std::fmt;

use macro_rules_attribute::apply;
use schema::failure::Verdict;
use schema::{data, value};

use super::facts::{Call, CallKind, Facts, Outcome, Window};
use super::schedule::FaultKind;

/// time after its notice from when an upstream VM gets no new work, milliseconds
const LEAVING_MS: u64 = 3_000;

/// what must always hold
#[apply(value!)]
pub enum Promise {
    /// accepted completions survive announced reclaims and planned stops
    Survival,
    /// every answer is whole and its caller's own
    Answer,
    /// what was told not to have run did not run
    NotRun,
    /// bookings run at most once
    Once,
    /// a leaving upstream VM gets no new work
    Leaving,
    /// planned stops cut nothing off
    Stop,
    /// revisions only go up, and the last one is in force everywhere
    Revision,
}

/// all promises
pub const PROMISES: [Promise; 7] = [
    Promise::Survival,
    Promise::Answer,
    Promise::NotRun,
    Promise::Once,
    Promise::Leaving,
    Promise::Stop,
    Promise::Revision,
];

/// a promise that did not hold
#[apply(data!)]
pub struct Violation {
    /// the promise
    pub promise: Promise,
    /// hash under which the call is recorded; 0 if it is not about a call
    pub hash: u64,
    /// what was seen
    pub seen: String,
}

/// what the judge found
#[derive(Default)]
#[apply(data!)]
pub struct Judgement {
    /// promises that did not hold
    pub violations: Vec<Violation>,
    /// completions lost with a daemon that died without notice
    pub lost_with_daemon: usize,
}

impl Judgement {
    /// how often a promise did not hold
    pub fn count(&self, promise: Promise) -> usize {
        let of_it = |violation: &&Violation| violation.promise == promise;
        self.violations.iter().filter(of_it).count()
    }
}

/// checks all promises
pub fn judge(facts: &Facts) -> Judgement {
    let mut judgement = survival(facts);
    let found = &mut judgement.violations;
    found.extend(wrong_answers(facts));
    found.extend(false_verdicts(facts));
    found.extend(second_runs(facts));
    found.extend(late_work(facts));
    found.extend(cut_by_stops(facts));
    found.extend(revisions(facts));
    judgement
}

/// completions that were accepted and not answered
fn survival(facts: &Facts) -> Judgement {
    let mut judgement = Judgement::default();
    for call in facts.calls.iter().filter(|call| call.is_completion()) {
        if !call.accepted || matches!(call.outcome, Outcome::Whole | Outcome::Wrong(_)) {
            continue;
        }
        if was_killed(facts, call) {
            judgement.lost_with_daemon += 1;
        } else {
            judgement
                .violations
                .push(violation(Promise::Survival, call));
        }
    }
    judgement
}

/// true if the daemon that had the call died without notice
///
/// After a planned stop or reclaim of its first daemon any daemon may have had a
/// completion; bookings are not handed over.
fn was_killed(facts: &Facts, call: &Call) -> bool {
    let has_moved = call.is_completion()
        && facts.windows.iter().any(|window| {
            is_planned(window) && window.daemon == Some(call.daemon) && call.meets(window)
        });
    let is_kill = |window: &&Window| window.kind == FaultKind::KillDaemon;
    facts.windows.iter().filter(is_kill).any(|kill| {
        // A process takes connections until its kill has taken effect.
        let during = call.started <= kill.dead && kill.from <= call.ended;
        during && (has_moved || kill.daemon == Some(call.daemon))
    })
}

fn is_planned(window: &Window) -> bool {
    matches!(
        window.kind,
        FaultKind::StopDaemon | FaultKind::ReclaimDaemon
    )
}

/// answers that are not whole or another caller's
pub fn wrong_answers(facts: &Facts) -> Vec<Violation> {
    let is_wrong = |call: &&Call| matches!(call.outcome, Outcome::Wrong(_));
    let wrong = facts.calls.iter().filter(is_wrong);
    wrong.map(|call| violation(Promise::Answer, call)).collect()
}

/// calls that ran though every answer said that they did not
fn false_verdicts(facts: &Facts) -> Vec<Violation> {
    let mut ran: BTreeMap<u64, u32> = BTreeMap::new();
    for execution in &facts.executions {
        *ran.entry(execution.hash).or_default() += 1;
    }
    for engine in &facts.engines {
        *ran.entry(engine.hash).or_default() += 1;
    }
    let mut found = Vec::new();
    for (hash, calls) in by_hash(facts) {
        let told_not_run = |call: &&Call| {
            call.verdict() == Some(Verdict::NotRun) || call.outcome == Outcome::Unreached
        };
        let was_told = calls
            .iter()
            .any(|call| call.verdict() == Some(Verdict::NotRun));
        if was_told && calls.iter().all(told_not_run) && ran.contains_key(&hash) {
            found.push(violation(Promise::NotRun, calls[0]));
        }
    }
    found
}

/// bookings that ran more than once
fn second_runs(facts: &Facts) -> Vec<Violation> {
    let mut ran: BTreeMap<u64, usize> = BTreeMap::new();
    for execution in &facts.executions {
        *ran.entry(execution.hash).or_default() += 1;
    }
    let mut found = Vec::new();
    for (hash, calls) in by_hash(facts) {
        let times = ran.get(&hash).copied().unwrap_or(0);
        if times > 1 {
            let mut violation = violation(Promise::Once, calls[0]);
            violation.seen = format!("ran {times} times: {}", violation.seen);
            found.push(violation);
        }
    }
    found
}

fn by_hash(facts: &Facts) -> BTreeMap<u64, Vec<&Call>> {
    let mut calls: BTreeMap<u64, Vec<&Call>> = BTreeMap::new();
    for call in &facts.calls {
        calls.entry(call.hash).or_default().push(call);
    }
    calls
}

/// streams that reached a VM long after its notice
fn late_work(facts: &Facts) -> Vec<Violation> {
    let mut found = Vec::new();
    for notice in &facts.notices {
        let late = notice.at + LEAVING_MS..=notice.until;
        for engine in facts.engines.iter().filter(|engine| engine.vm == notice.vm) {
            if late.contains(&engine.started) {
                let after = engine.started - notice.at;
                found.push(Violation {
                    promise: Promise::Leaving,
                    hash: engine.hash,
                    seen: format!(
                        "{} reached {} {after} ms after its notice",
                        engine.request_id, engine.vm
                    ),
                });
            }
        }
    }
    found
}

/// bookings cut off by a planned stop, and stops that did not end well
fn cut_by_stops(facts: &Facts) -> Vec<Violation> {
    let mut found = Vec::new();
    let is_stop = |window: &&Window| window.kind == FaultKind::StopDaemon;
    for stop in facts.windows.iter().filter(is_stop) {
        if !stop.clean {
            found.push(Violation {
                promise: Promise::Stop,
                hash: 0,
                seen: format!(
                    "the stop of daemon {:?} at {} failed",
                    stop.daemon, stop.from
                ),
            });
        }
        for call in &facts.calls {
            let is_its = stop.daemon == Some(call.daemon) && call.meets(stop);
            if is_its && is_cut(call) && !was_killed(facts, call) {
                found.push(violation(Promise::Stop, call));
            }
        }
    }
    found
}

/// true if a booking ended without an answer that its caller can use
///
/// Under a key or ticket `may_have_run` can mean that another repeat runs.
fn is_cut(call: &Call) -> bool {
    match call.outcome {
        Outcome::Cut(_) => !call.is_completion(),
        Outcome::Refused { verdict, .. } => {
            call.kind == CallKind::Unkeyed && verdict == Verdict::MayHaveRun
        }
        _ => false,
    }
}

/// revisions that went back, and daemons without the last one
fn revisions(facts: &Facts) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut add = |seen: String| {
        found.push(Violation {
            promise: Promise::Revision,
            hash: 0,
            seen,
        });
    };
    let mut highest: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    for sighting in &facts.sightings {
        let instance = (sighting.daemon, sighting.process);
        let last = highest.entry(instance).or_default();
        if sighting.revision < *last {
            add(format!(
                "daemon {} went from {last} back to {}",
                sighting.daemon, sighting.revision
            ));
        }
        *last = sighting.revision.max(*last);
    }
    let settlement = &facts.settlement;
    for (daemon, revision) in settlement.daemons.iter().enumerate() {
        if *revision != Some(settlement.accepted) {
            let accepted = settlement.accepted;
            add(format!("daemon {daemon} has {revision:?}, not {accepted}"));
        }
    }
    found
}

fn violation(promise: Promise, call: &Call) -> Violation {
    Violation {
        promise,
        hash: call.hash,
        seen: format!(
            "{:?} {} at daemon {}, {} to {}: {:?}",
            call.kind, call.name, call.daemon, call.started, call.ended, call.outcome
        ),
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Promise::Survival => "accepted completions are answered",
            Promise::Answer => "answers are whole and the caller's own",
            Promise::NotRun => "not_run means that it did not run",
            Promise::Once => "bookings run at most once",
            Promise::Leaving => "leaving VMs get no new work",
            Promise::Stop => "planned stops cut nothing off",
            Promise::Revision => "revisions go up and reach every daemon",
        })
    }
}
