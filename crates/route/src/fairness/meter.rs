use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::{Attempt, Demand};

/// time constant of the measured rates: a surge counts before half of its callers have been refused,
/// and a workspace with a request a second keeps its place
pub(super) const TIME_CONSTANT: Duration = Duration::from_secs(3);

/// exponentially decaying demand of one workspace
#[derive(Debug, Clone, Default)]
pub(super) struct Meter {
    demand: Demand,
    /// requested work by priority
    kinds: BTreeMap<u8, f64>,
    updated_at: Option<Instant>,
}

impl Meter {
    /// counts an attempt
    pub fn count(&mut self, attempt: &Attempt<'_>, work: f64, is_refused: bool, now: Instant) {
        self.decay(now);
        if attempt.is_repeated {
            return;
        }
        let rate = work / TIME_CONSTANT.as_secs_f64();
        self.demand.requested += rate;
        *self.kinds.entry(attempt.priority).or_default() += rate;
        if is_refused {
            self.demand.refused += rate;
        }
    }

    /// counts a response
    pub fn count_response(&mut self, work: f64, is_late: bool, now: Instant) {
        self.decay(now);
        let rate = work / TIME_CONSTANT.as_secs_f64();
        self.demand.served += rate;
        if is_late {
            self.demand.late += rate;
        }
    }

    /// the current demand
    pub fn current(&mut self, now: Instant) -> Demand {
        self.decay(now);
        self.demand
    }

    /// requested work by priority, the most urgent first
    pub fn kinds(&self) -> Vec<(u8, f64)> {
        self.kinds
            .iter()
            .map(|(kind, work)| (*kind, *work))
            .collect()
    }

    fn decay(&mut self, now: Instant) {
        let since = self.updated_at.unwrap_or(now);
        let passed = now.saturating_duration_since(since).as_secs_f64();
        let factor = (-passed / TIME_CONSTANT.as_secs_f64()).exp();
        self.demand.requested *= factor;
        self.demand.refused *= factor;
        self.demand.served *= factor;
        self.demand.late *= factor;
        for work in self.kinds.values_mut() {
            *work *= factor;
        }
        self.updated_at = Some(since.max(now));
    }
}
