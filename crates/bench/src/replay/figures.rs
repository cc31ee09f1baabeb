//! The figures of one policy in one replay.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use macro_rules_attribute::apply;
use schema::message;

/// longest time that is told apart, microseconds
const LONGEST_US: u64 = 120_000_000;

/// significant digits of times
const DIGITS: u8 = 3;

/// percentiles of a time, milliseconds
#[apply(message!)]
pub struct Times {
    /// half are shorter
    pub p50: f64,
    /// 95 in 100 are shorter
    pub p95: f64,
    /// 99 in 100 are shorter
    pub p99: f64,
}

/// how calls ended
#[apply(message!)]
#[derive(Default)]
pub struct Ends {
    /// whole and right
    pub whole: u64,
    /// of another call, or a repetition with another answer
    pub wrong: u64,
    /// refused, with the verdict `not_run`
    pub not_run: u64,
    /// given up, with the verdict `may_have_run`
    pub may_have_run: u64,
    /// broken off or never answered
    pub broken: u64,
}

/// the figures of one policy in one replay
#[apply(message!)]
pub struct Figures {
    /// policy of the daemons
    pub policy: String,
    /// load average of the machine over the last minute, before and after
    pub load_average: [f64; 2],
    /// calls of the trace
    pub calls: u64,
    /// how they ended
    pub ends: Ends,
    /// some of the reasons of those that were not whole
    pub reasons: BTreeMap<String, u64>,
    /// time to the first token, from the arrival in the trace
    pub first_token: Times,
    /// the same by class
    pub first_token_by_class: BTreeMap<String, Times>,
    /// time between tokens
    pub between_tokens: Times,
    /// part of all calls of models whose first token was in time
    pub first_token_attainment: f64,
    /// part of the times between tokens within the target
    pub between_tokens_attainment: f64,
    /// part of all calls of models that missed a target
    pub missed: f64,
    /// tokens that engines generated
    pub generated: u64,
    /// prompt tokens that engines computed, for a generated one
    pub recomputed: f64,
    /// the same without the first time that each prefix was computed
    pub computed_again: f64,
    /// millionths of the currency for 1,000 tokens of answers within the targets
    pub cost: f64,
    /// runs that upstreams recorded for a call that was not refused
    pub attempts_per_request: f64,
    /// bookings that ran twice, or ran although the caller was told `not_run`
    pub double_bookings: u64,
    /// runs on engines of another region than the daemon's
    pub link_runs: u64,
    /// bytes of their prompts and tokens, by estimate
    pub link_bytes: u64,
    /// bytes between the other regions and the platform
    pub platform_bytes: u64,
    /// times that callers came back to their answers
    pub reattached: u64,
    /// time by which the bench sent calls late
    pub sent_late: Times,
}

impl Times {
    /// percentiles of these times
    pub fn of(all: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, LONGEST_US, DIGITS)
            .expect("constant bounds are valid");
        for time in all {
            histogram.saturating_record(time.as_micros() as u64);
        }
        let at = |percentile| histogram.value_at_percentile(percentile) as f64 / 1_000.0;
        Self {
            p50: at(50.0),
            p95: at(95.0),
            p99: at(99.0),
        }
    }
}
