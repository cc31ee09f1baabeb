//! Peak of the demand in a sliding window.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::view::Demand;

/// time for which capacity is kept for a peak of demand
pub(super) const WINDOW_LENGTH: Duration = Duration::from_secs(300);

/// time over which reports are merged into one sample
const SAMPLE_INTERVAL: Duration = Duration::from_secs(5);

/// age from which the last report is too old to remove VMs
const MAX_REPORT_AGE: Duration = Duration::from_secs(30);

/// highest demand of one sample interval, by region
#[derive(Debug, Clone)]
struct Sample {
    at: Instant,
    requests: BTreeMap<String, u32>,
}

/// sliding window of demand samples
#[derive(Debug, Clone, Default)]
pub(super) struct DemandWindow {
    samples: VecDeque<Sample>,
    last_report: Option<Instant>,
}

impl DemandWindow {
    /// records a report
    pub(super) fn record(&mut self, demand: &[Demand], now: Instant) {
        self.last_report = Some(now);
        let is_new_sample = match self.samples.back() {
            Some(last) => now.saturating_duration_since(last.at) >= SAMPLE_INTERVAL,
            None => true,
        };
        if is_new_sample {
            self.samples.push_back(Sample {
                at: now,
                requests: BTreeMap::new(),
            });
        }
        if let Some(sample) = self.samples.back_mut() {
            for entry in demand {
                let requests = entry.in_flight.saturating_add(entry.queued);
                let highest = sample.requests.entry(entry.region.clone()).or_default();
                *highest = requests.max(*highest);
            }
        }
        while self.samples.len() > 1
            && self
                .samples
                .front()
                .is_some_and(|s| now.saturating_duration_since(s.at) > WINDOW_LENGTH)
        {
            self.samples.pop_front();
        }
    }

    /// highest demand in the window, by region
    pub(super) fn peak(&self) -> BTreeMap<String, u32> {
        let mut peak: BTreeMap<String, u32> = BTreeMap::new();
        for sample in &self.samples {
            for (region, requests) in &sample.requests {
                let highest = peak.entry(region.clone()).or_default();
                *highest = (*requests).max(*highest);
            }
        }
        peak
    }

    /// whether the last report is recent enough to remove VMs
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        self.last_report
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_REPORT_AGE)
    }
}
