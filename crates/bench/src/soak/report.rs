//! Prints the results of a soak test.

use std::collections::BTreeMap;

use macro_rules_attribute::apply;
use schema::failure::Verdict;
use schema::value;

use super::check::{Findings, INVARIANTS};
use super::history::{Call, CallKind, History, InjectedFault, Outcome};
use super::schedule::FAULT_KINDS;

/// number of violations that are printed
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// requests and how many of them were served
#[derive(Default)]
#[apply(value!)]
pub struct SuccessRate {
    /// number of requests; repeats of a request are not counted
    pub sent: usize,
    /// requests of which at least one call had the correct response
    pub served: usize,
}

impl SuccessRate {
    fn of<'a>(calls: impl Iterator<Item = &'a Call>) -> Self {
        let mut served: BTreeMap<u64, bool> = BTreeMap::new();
        for call in calls {
            *served.entry(call.hash).or_default() |= call.outcome == Outcome::Correct;
        }
        Self {
            sent: served.len(),
            served: served.values().filter(|served| **served).count(),
        }
    }

    /// percentage of served requests; 0 if none were sent
    pub fn percent(&self) -> f64 {
        self.served as f64 * 100.0 / self.sent.max(1) as f64
    }
}

/// success rate of calls sent during faults for which `fits` holds; without `fits`, of calls
/// sent while no fault was active
pub fn success_rate(
    history: &History,
    fits: Option<&dyn Fn(&InjectedFault) -> bool>,
) -> SuccessRate {
    let was_sent_during = |call: &Call, fault: &InjectedFault| {
        (fault.injected..=fault.restored).contains(&call.started)
    };
    SuccessRate::of(history.calls.iter().filter(|call| {
        match fits {
            Some(fits) => history
                .faults
                .iter()
                .any(|fault| fits(fault) && was_sent_during(call, fault)),
            None => !history
                .faults
                .iter()
                .any(|fault| was_sent_during(call, fault)),
        }
    }))
}

/// prints counts, invariants, success rates and the first violations
pub fn print(history: &History, findings: &Findings) {
    print_counts(history, findings);
    println!();
    for invariant in INVARIANTS {
        println!("{invariant:<42} violations={}", findings.count(invariant));
    }
    println!();
    let without_faults = success_rate(history, None);
    println!(
        "{:<28} served {:>5.1} % of {}",
        "without faults",
        without_faults.percent(),
        without_faults.sent
    );
    for kind in FAULT_KINDS {
        let rate = success_rate(history, Some(&|fault| fault.kind == kind));
        if rate.sent > 0 {
            println!(
                "{kind:<28} served {:>5.1} % of {}",
                rate.percent(),
                rate.sent
            );
        }
    }
    for violation in findings.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        let run = history
            .engine_runs
            .iter()
            .find(|run| run.hash == violation.hash);
        let id = run.map_or("-", |run| run.request_id.as_str());
        println!(
            "VIOLATION {}: request={id} {}",
            violation.invariant, violation.seen
        );
    }
}

fn print_counts(history: &History, findings: &Findings) {
    let of = |kind: CallKind| history.calls.iter().filter(move |call| call.kind == kind);
    for kind in [
        CallKind::Stream,
        CallKind::Unstreamed,
        CallKind::Keyed,
        CallKind::Ticketed,
        CallKind::Unkeyed,
    ] {
        let rate = SuccessRate::of(of(kind));
        let repeats = of(kind).count() - rate.sent;
        let verdicts = of(kind).filter_map(Call::verdict);
        let not_run = verdicts.filter(|v| *v == Verdict::NotRun).count();
        let may_have_run = of(kind).filter_map(Call::verdict).count() - not_run;
        println!(
            "{kind:?}: requests={} repeats={repeats} served={} not_run={not_run} \
             may_have_run={may_have_run}",
            rate.sent, rate.served
        );
    }
    println!("refusals: {}", failure_codes(history));
    let reattached: u32 = history.calls.iter().map(|call| call.reattached).sum();
    let resumed = history
        .engine_runs
        .iter()
        .filter(|run| run.from > 0)
        .count();
    let recomputed: u64 = history
        .engine_runs
        .iter()
        .map(|run| u64::from(run.recomputed))
        .sum();
    println!(
        "faults={} notices={} reattached={reattached} moved_streams={resumed} \
         prompt_and_prior_computed={recomputed} executions={} changes={} \
         revision={} lost_with_killed_daemon={}",
        history.faults.len(),
        history.notices.len(),
        history.executions.len(),
        history.final_state.accepted_changes,
        history.final_state.accepted_revision,
        findings.lost_with_daemon,
    );
}

/// error codes of failed calls, with the count of each
fn failure_codes(history: &History) -> String {
    let mut codes: BTreeMap<&str, usize> = BTreeMap::new();
    for call in &history.calls {
        match &call.outcome {
            Outcome::Failed { code, .. } => *codes.entry(code).or_default() += 1,
            Outcome::NoResponse(_) => *codes.entry("cut").or_default() += 1,
            Outcome::Unreachable => *codes.entry("unreached").or_default() += 1,
            Outcome::Correct | Outcome::Wrong(_) => (),
        }
    }
    let counts = codes.iter().map(|(code, count)| format!("{code}={count}"));
    counts.collect::<Vec<_>>().join(" ")
}
