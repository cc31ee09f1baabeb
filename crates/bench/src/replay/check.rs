//! Compares measured figures with the expected outcomes of a trace.

use std::fs;
use std::io;
use std::path::Path;

use macro_rules_attribute::apply;
use schema::message;
use schema::trace::{Comparison, Figure, Outcomes, Targets};

use super::{Fault, Figures};

/// an expected outcome and the measured value
#[apply(message!)]
pub struct Check {
    /// expected outcome
    #[serde(rename = "stated")]
    pub expected: String,
    /// measured value
    #[serde(rename = "seen")]
    pub measured: String,
    /// true if it was met; none if the baseline to compare with was not run
    pub met: Option<bool>,
}

/// reads the expected outcomes of a trace, `NAME.outcomes.yaml` in the same folder
pub fn outcomes(trace: &Path) -> io::Result<Outcomes> {
    let path = trace.with_extension("outcomes.yaml");
    let text = fs::read_to_string(&path)
        .map_err(|error| io::Error::other(format!("{}: {error}", path.display())))?;
    serde_norway::from_str(&text)
        .map_err(|error| io::Error::other(format!("{}: {error}", path.display())))
}

/// compares a policy's figures with the expected outcomes; `baselines` are of the same run
pub fn check(
    outcomes: &Outcomes,
    faults: Fault,
    figures: &Figures,
    baselines: &[Figures],
) -> Vec<Check> {
    let limits = &outcomes.under_any_fault;
    let ends = &figures.ends;
    let mut checks = vec![
        at_most(
            "accepted requests without a complete response",
            (ends.interrupted + ends.may_have_run) as f64,
            limits.broken_answers as f64,
        ),
        at_most(
            "responses that belong to another call",
            ends.wrong as f64,
            limits.wrong_answers as f64,
        ),
        at_most(
            "bookings whose runs contradict the response",
            figures.double_bookings as f64,
            limits.double_bookings as f64,
        ),
    ];
    if faults == Fault::None {
        checks.extend(targets(&outcomes.without_faults, figures, baselines));
    }
    checks
}

fn targets(targets: &Targets, figures: &Figures, baselines: &[Figures]) -> Vec<Check> {
    let mut checks = vec![
        at_least(
            "first tokens within the target",
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
        checks.push(compare(comparison, figures, baselines));
    }
    checks
}

fn compare(comparison: &Comparison, figures: &Figures, baselines: &[Figures]) -> Check {
    let Comparison {
        figure,
        baseline,
        at_most,
        margin,
    } = comparison;
    let baseline = baseline.to_string();
    let found = baselines.iter().find(|other| other.policy == baseline);
    let expected = format!("{figure} at most {at_most} times {baseline}'s plus {margin}");
    let Some(found) = found else {
        let measured = format!("{baseline} was not run");
        return Check {
            expected,
            measured,
            met: None,
        };
    };
    let (measured, reference) = (value(figures, *figure), value(found, *figure));
    Check {
        expected,
        measured: format!(
            "{measured:.3}, baseline {reference:.3}, ratio {:.2}",
            measured / reference
        ),
        met: Some(measured <= reference * at_most + margin),
    }
}

/// value of a figure
pub fn value(figures: &Figures, figure: Figure) -> f64 {
    match figure {
        Figure::Recomputed => figures.recomputed,
        Figure::FirstTokenP95 => figures.first_token.p95,
        Figure::Missed => figures.missed,
        Figure::Cost => figures.cost,
    }
}

fn at_most(what: &str, measured: f64, bound: f64) -> Check {
    Check {
        expected: format!("{what}: at most {bound}"),
        measured: format!("{measured:.3}"),
        met: Some(measured <= bound),
    }
}

fn at_least(what: &str, measured: f64, bound: f64) -> Check {
    Check {
        expected: format!("{what}: at least {bound}"),
        measured: format!("{measured:.3}"),
        met: Some(measured >= bound),
    }
}
