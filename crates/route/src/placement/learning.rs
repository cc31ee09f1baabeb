//! What responses say about a service's engines.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::balancer::Balancer;
use super::engine::Timing;
use super::learner::{Measurement, Sample};
use super::request::Distance;

impl Balancer {
    /// records the first event of a request at an engine
    pub fn record_sample(&mut self, service: &str, id: &str, sample: &Sample, now: Instant) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let Some(entry) = state.entries.get(id) else {
            return;
        };
        // the transfer over the link takes as long as the prefill of thousands of tokens
        if entry.member.cache_tokens.is_some() && entry.member.distance != Distance::Link {
            state.learner.record(sample, now);
        }
    }

    /// records the duration of a complete stream of a service
    pub fn record_stream(&mut self, service: &str, took: Duration, now: Instant) {
        if let Some(state) = self.services.get_mut(service) {
            state.learner.record_stream(took, now);
        }
    }

    /// returns what this daemon has measured lately, by service
    pub fn measurements(&mut self, now: Instant) -> HashMap<String, Measurement> {
        let services = self.services.iter_mut();
        let measured = services.map(|(name, state)| (name.clone(), state.learner.measured(now)));
        measured
            .filter(|(_, measured)| !measured.is_empty())
            .collect()
    }

    /// applies the sum of what all daemons measured; returns the times in effect if they are learned
    /// from now on, or assumed again
    pub fn apply_measurement(&mut self, service: &str, total: &Measurement) -> Option<Timing> {
        let state = self.services.get_mut(service)?;
        let is_changed = state.learner.apply(total);
        is_changed.then(|| state.learner.timing())
    }

    /// returns the times of a service's engines, if they are learned
    pub fn learned(&self, service: &str) -> Option<Timing> {
        self.services.get(service)?.learner.learned()
    }

    /// returns the learned times by service
    pub fn all_learned(&self) -> HashMap<String, Timing> {
        let services = self.services.iter();
        let learned = services
            .filter_map(|(name, state)| state.learner.learned().map(|timing| (name, timing)));
        learned
            .map(|(name, timing)| (name.clone(), timing))
            .collect()
    }

    /// sets times that were learned before this process started
    pub fn restore_learned(&mut self, service: &str, timing: Timing) {
        let state = self.services.entry(service.to_owned()).or_default();
        state.learner.restore(timing);
    }
}
