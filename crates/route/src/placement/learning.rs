//! What responses say about a service's engines and about each VM.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::balancer::Balancer;
use super::engine::Timing;
use super::learner::{Measurement, Sample, WARM_UP};
use super::request::Distance;
use super::speed::Slowness;

/// expected time to a first event, seconds, below which it counts as this long
const MIN_EXPECTED_S: f64 = 0.02;

/// pause between events, seconds, below which it counts as this long: shorter ones are of events
/// that arrive together
const MIN_PAUSE_S: f64 = 0.001;

impl Balancer {
    /// takes VMs to hold no prompts that this daemon does not know of, as at the first start of all daemons
    pub fn trust_first_samples(&mut self) {
        self.has_cold_vms = true;
    }

    /// counts all VMs of a service as equally fast
    pub fn ignore_speeds(&mut self) {
        self.ignores_speeds = true;
    }

    /// records the mean pause between some events of a stream
    pub fn record_pause(&mut self, service: &str, id: &str, pause: Duration, now: Instant) {
        if self.ignores_speeds {
            return;
        }
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let Some(entry) = state.entries.get_mut(id) else {
            return;
        };
        let relative = state.pauses.record(pause.as_secs_f64().max(MIN_PAUSE_S));
        if state.pauses.is_known() {
            entry.speed.record(relative, now);
        }
    }

    /// returns the VMs that are slow by this daemon's own samples
    pub fn slow_vms(&self, now: Instant) -> HashMap<String, Slowness> {
        let entries = self.services.values().flat_map(|state| &state.entries);
        entries
            .filter_map(|(id, entry)| Some((id.clone(), entry.speed.slowness(now)?)))
            .collect()
    }

    /// sets the VMs that peers reported as slow
    pub fn set_peer_slow_vms(&mut self, slow: &HashMap<String, Slowness>, now: Instant) {
        if slow.is_empty() || self.ignores_speeds {
            return;
        }
        for state in self.services.values_mut() {
            for (id, slowness) in slow {
                if let Some(entry) = state.entries.get_mut(id) {
                    entry.speed.set_reported(*slowness, now);
                }
            }
        }
    }

    /// returns the factor by which a VM is expected to be slower than the others
    pub fn slow_factor(&self, service: &str, id: &str, now: Instant) -> f64 {
        let state = self.services.get(service);
        let entry = state.and_then(|state| state.entries.get(id));
        entry.map_or(1.0, |entry| entry.speed.factor(now))
    }

    /// records the first event of a request at an engine
    pub fn record_sample(&mut self, service: &str, id: &str, sample: &Sample, now: Instant) {
        let uses_speeds = !self.ignores_speeds;
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let Some(entry) = state.entries.get_mut(id) else {
            return;
        };
        let excess = match entry.member.distance {
            Distance::Zone | Distance::Region => &mut state.excess_here,
            Distance::Link => &mut state.excess_there,
        };
        let expected = sample.expected.saturating_sub(sample.excess);
        excess.record(expected, sample.took, now);
        let expected = sample.expected.as_secs_f64().max(MIN_EXPECTED_S);
        let relative = state
            .first_events
            .record(sample.took.as_secs_f64() / expected);
        if uses_speeds && state.first_events.is_known() {
            entry.speed.record(relative, now);
        }
        // the transfer over the link takes as long as the prefill of thousands of tokens
        if entry.member.cache_tokens.is_some() && entry.member.distance != Distance::Link {
            let warm_up = if self.has_cold_vms {
                Duration::ZERO
            } else {
                WARM_UP
            };
            state.learner.record(sample, warm_up, now);
        }
    }

    /// records the duration of a complete stream of a service
    pub fn record_stream(&mut self, service: &str, took: Duration, now: Instant) {
        if let Some(state) = self.services.get_mut(service) {
            state.learner.record_stream(took, now);
        }
    }

    /// returns what this daemon has measured lately, by service: as long as queueing is short, and in any
    /// case
    pub fn measurements(&mut self, now: Instant) -> [HashMap<String, Measurement>; 2] {
        let mut measurements = [HashMap::new(), HashMap::new()];
        for (name, state) in &mut self.services {
            let measured = state.learner.measured(now);
            for (by_service, measured) in measurements.iter_mut().zip(measured) {
                if !measured.is_empty() {
                    by_service.insert(name.clone(), measured);
                }
            }
        }
        measurements
    }

    /// applies the sums of what all daemons measured; returns the times in effect if they are learned
    /// from now on, or assumed again
    pub fn apply_measurement(
        &mut self,
        service: &str,
        total: &Measurement,
        rough: &Measurement,
    ) -> Option<Timing> {
        let state = self.services.get_mut(service)?;
        let is_changed = state.learner.apply(total, rough);
        is_changed.then(|| state.learner.timing())
    }

    /// returns the time that a service's engines take to prefill tokens
    pub fn prefill_time(&self, service: &str, tokens: u32) -> Duration {
        let state = self.services.get(service);
        let timing = state.map_or_else(Timing::default, |state| state.learner.timing());
        timing.prefill_time(u64::from(tokens))
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
