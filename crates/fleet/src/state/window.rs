//! Demand over the last minutes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::view::Demand;

/// time for which a peak of demand keeps its capacity
pub(super) const HOLD: Duration = Duration::from_secs(300);

/// time over which samples are kept as one
const SAMPLE: Duration = Duration::from_secs(5);

/// age beyond which the last report says nothing about now
const STALE: Duration = Duration::from_secs(30);

/// highest demand of a short time, by region
#[derive(Debug, Clone)]
struct Sample {
    at: Instant,
    requests: BTreeMap<String, u32>,
}

/// demand over the last minutes
#[derive(Debug, Clone, Default)]
pub(super) struct Window {
    samples: VecDeque<Sample>,
    reported: Option<Instant>,
}

impl Window {
    /// takes in a report
    pub(super) fn observe(&mut self, demand: &[Demand], now: Instant) {
        self.reported = Some(now);
        let opens = match self.samples.back() {
            Some(last) => now.saturating_duration_since(last.at) >= SAMPLE,
            None => true,
        };
        if opens {
            self.samples.push_back(Sample {
                at: now,
                requests: BTreeMap::new(),
            });
        }
        if let Some(sample) = self.samples.back_mut() {
            for part in demand {
                let requests = part.in_flight.saturating_add(part.queued);
                let highest = sample.requests.entry(part.region.clone()).or_default();
                *highest = requests.max(*highest);
            }
        }
        while self.samples.len() > 1
            && self
                .samples
                .front()
                .is_some_and(|s| now.saturating_duration_since(s.at) > HOLD)
        {
            self.samples.pop_front();
        }
    }

    /// highest demand over the time held, by region
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

    /// whether the last report is young enough to remove VMs on
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        self.reported
            .is_some_and(|at| now.saturating_duration_since(at) < STALE)
    }
}
