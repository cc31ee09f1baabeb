//! Compares figures with the outcomes stated for a trace.

use std::fs;
use std::io;
use std::path::Path;

use macro_rules_attribute::apply;
use schema::message;
use schema::trace::{Comparison, Figure, Outcomes, Targets};

use super::{Fault, Figures};

/// one stated outcome and what was seen
#[apply(message!)]
pub struct Check {
    /// what was stated
    pub stated: String,
    /// what was seen
    pub seen: String,
    /// it was met; none if the run can't tell
    pub met: Option<bool>,
}

/// reads the outcomes beside a trace: `NAME.outcomes.yaml`
pub fn outcomes(trace: &Path) -> io::Result<Outcomes> {
    let path = trace.with_extension("outcomes.yaml");
    let text = fs::read_to_string(&path)
        .map_err(|error| io::Error::other(format!("{}: {error}", path.display())))?;
    serde_norway::from_str(&text)
        .map_err(|error| io::Error::other(format!("{}: {error}", path.display())))
}

/// compares the figures of a policy with what is stated; `others` are baselines of the same run
pub fn check(
    outcomes: &Outcomes,
    faults: Fault,
    figures: &Figures,
    others: &[Figures],
) -> Vec<Check> {
    let promises = &outcomes.under_any_fault;
    let ends = &figures.ends;
    let mut checks = vec![
        at_most(
            "accepted requests without a whole answer",
            (ends.broken + ends.may_have_run) as f64,
            promises.broken_answers as f64,
        ),
        at_most(
            "answers that are not the caller's own",
            ends.wrong as f64,
            promises.wrong_answers as f64,
        ),
        at_most(
            "bookings that ran more often than told",
            figures.double_bookings as f64,
            promises.double_bookings as f64,
        ),
    ];
    if faults == Fault::None {
        checks.extend(targets(&outcomes.without_faults, figures, others));
    }
    checks
}

fn targets(targets: &Targets, figures: &Figures, others: &[Figures]) -> Vec<Check> {
    let mut checks = vec![
        at_least(
            "first tokens in time",
            figures.first_token_attainment,
            targets.first_token_attainment,
        ),
        at_least(
            "times between tokens within the target",
            figures.between_tokens_attainment,
            targets.between_tokens_attainment,
        ),
        at_most(
            "attempts on upstreams for a request",
            figures.attempts_per_request,
            targets.attempts_per_request,
        ),
    ];
    for comparison in &targets.comparisons {
        checks.push(compare(comparison, figures, others));
    }
    checks
}

fn compare(comparison: &Comparison, figures: &Figures, others: &[Figures]) -> Check {
    let Comparison {
        figure,
        baseline,
        at_most,
        margin,
    } = comparison;
    let baseline = baseline.to_string();
    let other = others.iter().find(|other| other.policy == baseline);
    let stated = format!("{figure} at most {at_most} of {baseline}'s, or {margin} above");
    let Some(other) = other else {
        let seen = format!("{baseline} was not run");
        return Check {
            stated,
            seen,
            met: None,
        };
    };
    let (own, theirs) = (value(figures, *figure), value(other, *figure));
    Check {
        stated,
        seen: format!("{own:.3} against {theirs:.3}, {:.2}", own / theirs),
        met: Some(own <= theirs * at_most + margin),
    }
}

/// a figure by its name
pub fn value(figures: &Figures, figure: Figure) -> f64 {
    match figure {
        Figure::Recomputed => figures.recomputed,
        Figure::FirstTokenP95 => figures.first_token.p95,
        Figure::Missed => figures.missed,
        Figure::Cost => figures.cost,
    }
}

fn at_most(what: &str, seen: f64, bound: f64) -> Check {
    Check {
        stated: format!("{what}: at most {bound}"),
        seen: format!("{seen:.3}"),
        met: Some(seen <= bound),
    }
}

fn at_least(what: &str, seen: f64, bound: f64) -> Check {
    Check {
        stated: format!("{what}: at least {bound}"),
        seen: format!("{seen:.3}"),
        met: Some(seen >= bound),
    }
}
