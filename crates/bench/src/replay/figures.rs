//! The figures of one policy in one replay.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use hdrhistogram::Histogram;
use macro_rules_attribute::apply;
use schema::message;

use super::call::{Body, Ready};
use super::plan::BETWEEN_TOKENS_MS;
use super::record::Record;
use super::seen::{End, Seen};

/// longest time that is told apart, microseconds
const LONGEST_US: u64 = 120_000_000;

/// significant digits of times
const DIGITS: u8 = 3;

/// bytes of one token on the wire, as an event of a stream
const TOKEN_BYTES: u64 = 48;

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

/// what the figures of one policy are made from
pub struct Material<'a> {
    /// policy of the daemons
    pub policy: String,
    /// names of the classes
    pub classes: Vec<String>,
    /// calls that were sent
    pub calls: &'a [Ready],
    /// what the callers saw
    pub seen: &'a [Seen],
    /// what the upstreams recorded
    pub record: &'a Record,
    /// region of each daemon
    pub daemon_regions: Vec<String>,
    /// region of each engine's VM
    pub vm_regions: HashMap<String, String>,
    /// what the engines cost, millionths of the currency
    pub engines_cost: u64,
    /// bytes between the other regions and the platform
    pub platform_bytes: u64,
    /// load average of the machine before and after
    pub load_average: [f64; 2],
}

/// what the engines did for the calls of a trace
#[derive(Debug, Default)]
struct Work {
    runs: u64,
    generated: u64,
    computed: u64,
    link_runs: u64,
    link_bytes: u64,
}

impl Material<'_> {
    /// computes the figures
    pub fn figures(&self) -> Figures {
        let work = self.work();
        let generated = work.generated.max(1) as f64;
        let models = self.model_calls().count().max(1) as f64;
        let in_time = self
            .model_calls()
            .filter(|seen| self.is_first_in_time(seen));
        let (in_time, good) = (in_time.count() as f64, self.good());
        let good_tokens: u64 = good.iter().map(|seen| seen.tokens).sum();
        let gaps = || self.seen.iter().flat_map(|seen| &seen.gaps).copied();
        let target = Duration::from_millis(BETWEEN_TOKENS_MS.into());
        let within = gaps().filter(|gap| *gap <= target).count() as f64;
        let ends = self.ends();
        let accepted = (self.seen.len() as u64 - ends.not_run).max(1) as f64;
        let again = work.computed.saturating_sub(self.least_computed());
        Figures {
            policy: self.policy.clone(),
            load_average: self.load_average,
            calls: self.seen.len() as u64,
            reasons: self.reasons(),
            first_token: times(self.model_calls().filter_map(|seen| seen.first)),
            first_token_by_class: self.first_by_class(),
            between_tokens: times(gaps()),
            first_token_attainment: in_time / models,
            between_tokens_attainment: within / gaps().count().max(1) as f64,
            missed: 1.0 - good.len() as f64 / models,
            generated: work.generated,
            recomputed: work.computed as f64 / generated,
            computed_again: again as f64 / generated,
            cost: self.engines_cost as f64 * 1_000.0 / good_tokens.max(1) as f64,
            attempts_per_request: (work.runs + self.executions()) as f64 / accepted,
            double_bookings: self.double_bookings(),
            link_runs: work.link_runs,
            link_bytes: work.link_bytes,
            platform_bytes: self.platform_bytes,
            reattached: self
                .seen
                .iter()
                .map(|seen| u64::from(seen.reattached))
                .sum(),
            sent_late: times(self.seen.iter().map(|seen| seen.late)),
            ends,
        }
    }

    fn model_calls(&self) -> impl Iterator<Item = &Seen> {
        let is_model = |seen: &&Seen| matches!(self.calls[seen.number].body, Body::Model { .. });
        self.seen.iter().filter(is_model)
    }

    fn is_first_in_time(&self, seen: &Seen) -> bool {
        let target = self.calls[seen.number].first_token;
        seen.end == End::Whole && seen.first.is_some_and(|first| first <= target)
    }

    /// calls of models within both targets
    fn good(&self) -> Vec<&Seen> {
        let target = Duration::from_millis(BETWEEN_TOKENS_MS.into());
        self.model_calls()
            .filter(|seen| self.is_first_in_time(seen) && seen.mean_gap() <= target)
            .collect()
    }

    fn ends(&self) -> Ends {
        let mut ends = Ends::default();
        for seen in self.seen {
            match seen.end {
                End::Whole => ends.whole += 1,
                End::Wrong => ends.wrong += 1,
                End::NotRun => ends.not_run += 1,
                End::MayHaveRun => ends.may_have_run += 1,
                End::Broken => ends.broken += 1,
            }
        }
        ends
    }

    fn reasons(&self) -> BTreeMap<String, u64> {
        let mut reasons = BTreeMap::new();
        for seen in self.seen.iter().filter(|seen| !seen.reason.is_empty()) {
            *reasons.entry(seen.reason.clone()).or_default() += 1;
        }
        reasons
    }

    fn first_by_class(&self) -> BTreeMap<String, Times> {
        let mut by_class: BTreeMap<String, Vec<Duration>> = BTreeMap::new();
        for seen in self.model_calls() {
            let class = &self.classes[self.calls[seen.number].class];
            by_class
                .entry(class.clone())
                .or_default()
                .extend(seen.first);
        }
        let by_class = by_class.into_iter();
        by_class.map(|(class, all)| (class, times(all))).collect()
    }

    fn work(&self) -> Work {
        let mut by_hash = HashMap::new();
        for call in self.calls {
            if let Body::Model { ask, hash } = &call.body {
                by_hash.insert(*hash, (call, ask));
            }
        }
        let mut work = Work::default();
        for (vm, runs) in &self.record.runs {
            for run in runs {
                let Some((call, ask)) = by_hash.get(&run.prompt_hash) else {
                    continue;
                };
                work.runs += 1;
                work.generated += u64::from(run.generated);
                work.computed += u64::from(run.recomputed);
                if self.vm_regions[vm] != self.daemon_regions[call.daemon] {
                    work.link_runs += 1;
                    work.link_bytes += ask.prompt.len() as u64;
                    work.link_bytes += u64::from(run.generated) * TOKEN_BYTES;
                }
            }
        }
        work
    }

    /// prompt tokens to compute if each prefix were computed once and kept for ever
    fn least_computed(&self) -> u64 {
        let mut known = HashSet::new();
        let mut least = 0;
        for call in self.calls {
            if let Body::Model { ask, .. } = &call.body {
                let words = ask.prompt.split_whitespace();
                least += words.filter(|word| known.insert(*word)).count() as u64;
            }
        }
        least
    }

    /// runs of bookings
    fn executions(&self) -> u64 {
        let mut keys = HashSet::new();
        for call in self.calls {
            if let Body::Booking { key, .. } = &call.body {
                keys.insert(key.as_str());
            }
        }
        let executions = self.record.executions.iter();
        executions
            .filter(|run| keys.contains(run.key.as_str()))
            .count() as u64
    }

    fn double_bookings(&self) -> u64 {
        let mut executions: HashMap<&str, u64> = HashMap::new();
        for execution in &self.record.executions {
            *executions.entry(&execution.key).or_default() += 1;
        }
        let mut wrong = 0;
        for seen in self.seen {
            let Body::Booking { key, .. } = &self.calls[seen.number].body else {
                continue;
            };
            let ran = executions.get(key.as_str()).copied().unwrap_or(0);
            let most = u64::from(seen.end != End::NotRun);
            let least = u64::from(seen.end == End::Whole);
            if ran > most || ran < least {
                wrong += 1;
            }
        }
        wrong
    }
}

fn times(all: impl IntoIterator<Item = Duration>) -> Times {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, LONGEST_US, DIGITS)
        .expect("constant bounds are valid");
    for time in all {
        histogram.saturating_record(time.as_micros() as u64);
    }
    let at = |percentile| histogram.value_at_percentile(percentile) as f64 / 1_000.0;
    Times {
        p50: at(50.0),
        p95: at(95.0),
        p99: at(99.0),
    }
}
