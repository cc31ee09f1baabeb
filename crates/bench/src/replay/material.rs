//! Computes the figures from what callers saw and upstreams recorded.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use super::call::{Body, Ready};
use super::figures::{Ends, Figures, Times};
use super::plan::BETWEEN_TOKENS_MS;
use super::record::Record;
use super::seen::{End, Seen};

/// bytes of one token on the wire, as an event of a stream
const TOKEN_BYTES: u64 = 48;

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
            first_token: Times::of(self.model_calls().filter_map(|seen| seen.first)),
            first_token_by_class: self.first_by_class(),
            between_tokens: Times::of(gaps()),
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
            sent_late: Times::of(self.seen.iter().map(|seen| seen.late)),
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
        by_class
            .map(|(class, all)| (class, Times::of(all)))
            .collect()
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
