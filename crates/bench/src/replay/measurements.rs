//! Computes the figures from the callers' observations and the upstreams' records.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use super::call::{Body, Prepared};
use super::figures::{Ends, Figures, Times};
use super::observation::{End, Observation};
use super::plan::BETWEEN_TOKENS_MS;
use super::record::Record;

/// estimated bytes of one token on the wire, sent as an event of a stream
const TOKEN_BYTES: u64 = 48;

/// input of the figures of one policy
pub struct Measurements<'a> {
    /// policy of the daemons
    pub policy: String,
    /// names of the classes, by index
    pub classes: Vec<String>,
    /// calls of the trace
    pub calls: &'a [Prepared],
    /// observations of the callers
    pub observations: &'a [Observation],
    /// records of the upstreams
    pub record: &'a Record,
    /// region of each daemon, by index
    pub daemon_regions: Vec<String>,
    /// region of each engine's VM, by name
    pub vm_regions: HashMap<String, String>,
    /// cost of the engines' VMs, millionths of the currency
    pub engines_cost: u64,
    /// bytes sent between the platform and the other regions
    pub platform_bytes: u64,
    /// load average of the machine before and after the replay
    pub load_average: [f64; 2],
}

/// work of the engines for the calls of a trace
#[derive(Debug, Default)]
struct Work {
    runs: u64,
    generated: u64,
    computed: u64,
    link_runs: u64,
    link_bytes: u64,
}

impl Measurements<'_> {
    /// computes the figures
    pub fn figures(&self) -> Figures {
        let work = self.work();
        let generated = work.generated.max(1) as f64;
        let models = self.model_calls().count().max(1) as f64;
        let in_time = self
            .model_calls()
            .filter(|observed| self.met_first_token_target(observed));
        let (in_time, met) = (in_time.count() as f64, self.met_targets());
        let met_tokens: u64 = met.iter().map(|observed| observed.tokens).sum();
        let gaps = || {
            self.observations
                .iter()
                .flat_map(|observed| &observed.gaps)
                .copied()
        };
        let target = Duration::from_millis(BETWEEN_TOKENS_MS.into());
        let gaps_in_time = gaps().filter(|gap| *gap <= target).count() as f64;
        let ends = self.ends();
        let accepted = (self.observations.len() as u64 - ends.not_run).max(1) as f64;
        let computed_again = work.computed.saturating_sub(self.min_computed());
        Figures {
            policy: self.policy.clone(),
            load_average: self.load_average,
            calls: self.observations.len() as u64,
            reasons: self.reasons(),
            first_token: Times::of(self.model_calls().filter_map(|observed| observed.first)),
            first_token_by_class: self.first_token_by_class(),
            between_tokens: Times::of(gaps()),
            first_token_attainment: in_time / models,
            between_tokens_attainment: gaps_in_time / gaps().count().max(1) as f64,
            missed: 1.0 - met.len() as f64 / models,
            generated: work.generated,
            recomputed: work.computed as f64 / generated,
            computed_again: computed_again as f64 / generated,
            cost: self.engines_cost as f64 * 1_000.0 / met_tokens.max(1) as f64,
            attempts_per_request: (work.runs + self.executions()) as f64 / accepted,
            double_bookings: self.double_bookings(),
            link_runs: work.link_runs,
            link_bytes: work.link_bytes,
            platform_bytes: self.platform_bytes,
            reattached: self
                .observations
                .iter()
                .map(|observed| u64::from(observed.reattached))
                .sum(),
            sent_late: Times::of(self.observations.iter().map(|observed| observed.late)),
            ends,
        }
    }

    fn model_calls(&self) -> impl Iterator<Item = &Observation> {
        let is_model =
            |call: &&Observation| matches!(self.calls[call.number].body, Body::Model { .. });
        self.observations.iter().filter(is_model)
    }

    fn met_first_token_target(&self, observed: &Observation) -> bool {
        let target = self.calls[observed.number].first_token;
        observed.end == End::Complete && observed.first.is_some_and(|first| first <= target)
    }

    /// model calls that met both targets
    fn met_targets(&self) -> Vec<&Observation> {
        let target = Duration::from_millis(BETWEEN_TOKENS_MS.into());
        self.model_calls()
            .filter(|observed| {
                self.met_first_token_target(observed) && observed.mean_gap() <= target
            })
            .collect()
    }

    fn ends(&self) -> Ends {
        let mut ends = Ends::default();
        for observed in self.observations {
            match observed.end {
                End::Complete => ends.complete += 1,
                End::Wrong => ends.wrong += 1,
                End::NotRun => ends.not_run += 1,
                End::MayHaveRun => ends.may_have_run += 1,
                End::Interrupted => ends.interrupted += 1,
            }
        }
        ends
    }

    fn reasons(&self) -> BTreeMap<String, u64> {
        let mut reasons = BTreeMap::new();
        for observed in self
            .observations
            .iter()
            .filter(|observed| !observed.reason.is_empty())
        {
            *reasons.entry(observed.reason.clone()).or_default() += 1;
        }
        reasons
    }

    fn first_token_by_class(&self) -> BTreeMap<String, Times> {
        let mut by_class: BTreeMap<String, Vec<Duration>> = BTreeMap::new();
        for observed in self.model_calls() {
            let class = &self.classes[self.calls[observed.number].class];
            by_class
                .entry(class.clone())
                .or_default()
                .extend(observed.first);
        }
        let by_class = by_class.into_iter();
        by_class
            .map(|(class, all)| (class, Times::of(all)))
            .collect()
    }

    fn work(&self) -> Work {
        let mut by_hash = HashMap::new();
        for call in self.calls {
            if let Body::Model { request, hash } = &call.body {
                by_hash.insert(*hash, (call, request));
            }
        }
        let mut work = Work::default();
        for (vm, runs) in &self.record.runs {
            for run in runs {
                let Some((call, request)) = by_hash.get(&run.prompt_hash) else {
                    continue;
                };
                work.runs += 1;
                work.generated += u64::from(run.generated);
                work.computed += u64::from(run.recomputed);
                if self.vm_regions[vm] != self.daemon_regions[call.daemon] {
                    work.link_runs += 1;
                    work.link_bytes += request.prompt.len() as u64;
                    work.link_bytes += u64::from(run.generated) * TOKEN_BYTES;
                }
            }
        }
        work
    }

    /// prompt tokens to compute if each prefix were computed once and never evicted
    fn min_computed(&self) -> u64 {
        let mut seen_words = HashSet::new();
        let mut tokens = 0;
        for call in self.calls {
            if let Body::Model { request, .. } = &call.body {
                let words = request.prompt.split_whitespace();
                tokens += words.filter(|word| seen_words.insert(*word)).count() as u64;
            }
        }
        tokens
    }

    /// runs of the trace's bookings on plain services
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
        for observed in self.observations {
            let Body::Booking { key, .. } = &self.calls[observed.number].body else {
                continue;
            };
            let ran = executions.get(key.as_str()).copied().unwrap_or(0);
            let max = u64::from(observed.end != End::NotRun);
            let min = u64::from(observed.end == End::Complete);
            if ran > max || ran < min {
                wrong += 1;
            }
        }
        wrong
    }
}
