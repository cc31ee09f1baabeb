//! Speed of each VM, relative to what is expected there.
//!
//! Load pattern: a sixth of the VMs of a service run 2.5 times slower for periods of 600 ms, others 4
//! to 7.5 times slower for seconds, while all are listed and answer. Requests sent there are late.
//!
//! Each sample is the logarithm of the ratio of the observed to the expected time, without the
//! median ratio of the service, so that what slows down all VMs marks none of them. A VM's
//! samples lose weight within the time for which it has been slow: a short period is forgotten
//! within a short time. While the estimate fades, the expected time falls steadily, so that requests
//! return to the VM a few at a time, as their draws differ.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::message;
use tokio::time::Instant;

/// ratio from which a VM counts as slow
const SLOW_RATIO: f64 = 1.8;

/// ratio below which a VM that was slow counts as fast as the others
const NORMAL_RATIO: f64 = 1.15;

/// largest ratio that is believed
const MAX_RATIO: f64 = 8.0;

/// weight of the assumption that a VM is as fast as the others, in samples: one sample of a VM that
/// is 2.5 times slower doesn't suffice, one that is 5 times slower does
const PRIOR_WEIGHT: f64 = 0.8;

/// ratio below which a sample of a VM that is not slow discards the earlier ones: the mean of the last
/// second would show a period of 600 ms when it is over
const FAST_RATIO: f64 = 1.4;

/// largest weight of a VM's samples, so that a change shows within a few
const MAX_WEIGHT: f64 = 3.0;

/// bounds of the time within which samples lose weight by a factor of e: half of the shortest
/// period, and the time after which a VM that was slow for long is tried again
const MIN_MEMORY: Duration = Duration::from_millis(300);
const MAX_MEMORY: Duration = Duration::from_millis(1500);

/// step by which the logarithm of the median ratio follows a sample
const MEDIAN_STEP: f64 = 0.03;

/// step for the first samples
const FIRST_STEP: f64 = 0.2;
const FIRST_SAMPLES: u32 = 16;

/// median of the ratios of observed to expected times of a service
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Baseline {
    median: f64,
    samples: u32,
}

impl Baseline {
    /// records a ratio; returns its logarithm relative to the median of the earlier ones
    pub fn record(&mut self, ratio: f64) -> f64 {
        let logarithm = ratio.max(1e-3).ln();
        let relative = logarithm - self.median;
        let step = if self.samples < FIRST_SAMPLES {
            FIRST_STEP
        } else {
            MEDIAN_STEP
        };
        self.samples = self.samples.saturating_add(1);
        self.median += relative.clamp(-step, step);
        relative
    }

    /// whether there are enough samples to tell a slow VM from a service that is slower than
    /// expected
    pub fn is_known(&self) -> bool {
        self.samples >= FIRST_SAMPLES
    }
}

/// slowness of a VM, as one daemon reports it to the others
///
/// Serialised as percent and milliseconds.
#[apply(message!)]
#[derive(Copy)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct Slowness {
    /// ratio of the observed to the expected time
    pub ratio: f64,
    /// time for which the VM has been slow
    pub age: Duration,
}

impl From<(u32, u32)> for Slowness {
    fn from((percent, age_ms): (u32, u32)) -> Slowness {
        Slowness {
            ratio: (f64::from(percent) / 100.0).clamp(1.0, MAX_RATIO),
            age: Duration::from_millis(age_ms.into()),
        }
    }
}

impl From<Slowness> for (u32, u32) {
    fn from(slowness: Slowness) -> (u32, u32) {
        (
            (slowness.ratio * 100.0).round() as u32,
            u32::try_from(slowness.age.as_millis()).unwrap_or(u32::MAX),
        )
    }
}

impl Slowness {
    /// the slower of two
    pub fn max(self, other: Slowness) -> Slowness {
        if other.ratio > self.ratio {
            other
        } else {
            self
        }
    }
}

/// estimate of a VM's speed
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Speed {
    /// weighted mean of the logarithms of the ratios, and the weight at the last sample
    mean: f64,
    weight: f64,
    updated_at: Option<Instant>,
    /// time of the last sample, also of those that were discarded
    measured_at: Option<Instant>,
    slow_since: Option<Instant>,
    /// what a peer reported, and when it arrived
    reported: Option<(Slowness, Instant)>,
}

impl Speed {
    /// records a ratio relative to the service's median, as a logarithm
    pub fn record(&mut self, relative: f64, now: Instant) {
        let relative = relative.clamp(-MAX_RATIO.ln(), MAX_RATIO.ln());
        self.measured_at = Some(now);
        if self.slow_since.is_none() && relative < FAST_RATIO.ln() {
            self.weight = 0.0;
            return;
        }
        let weight = self.current_weight(now);
        self.mean = (self.mean * weight + relative) / (weight + 1.0);
        self.weight = (weight + 1.0).min(MAX_WEIGHT);
        self.updated_at = Some(now);
        let ratio = self.estimate(now);
        if ratio >= SLOW_RATIO {
            self.slow_since = self.slow_since.or(Some(now));
        } else if ratio < NORMAL_RATIO {
            self.slow_since = None;
        }
    }

    /// sets what a peer reported
    pub fn set_reported(&mut self, slowness: Slowness, now: Instant) {
        self.reported = Some((slowness, now));
    }

    /// factor by which the VM is expected to be slower than the others
    pub fn factor(&self, now: Instant) -> f64 {
        let own = match self.slow_since {
            Some(_) => self.estimate(now),
            None => 1.0,
        };
        // this daemon's own samples are newer than what peers report
        let is_measured = self
            .measured_at
            .is_some_and(|at| now.saturating_duration_since(at) < MIN_MEMORY);
        let factor = match self.reported {
            Some((slowness, at)) if !is_measured => {
                let passed = now.saturating_duration_since(at).as_secs_f64();
                let memory = memory(slowness.age).as_secs_f64();
                own.max(slowness.ratio.powf((-passed / memory).exp()))
            }
            _ => own,
        };
        if factor < NORMAL_RATIO { 1.0 } else { factor }
    }

    /// what is reported to peers; none if the VM is not slow by this daemon's own samples
    pub fn slowness(&self, now: Instant) -> Option<Slowness> {
        let since = self.slow_since?;
        let ratio = self.estimate(now);
        (ratio >= SLOW_RATIO).then(|| Slowness {
            ratio,
            age: now.saturating_duration_since(since),
        })
    }

    fn estimate(&self, now: Instant) -> f64 {
        let weight = self.current_weight(now);
        (self.mean * weight / (weight + PRIOR_WEIGHT))
            .exp()
            .clamp(1.0, MAX_RATIO)
    }

    fn current_weight(&self, now: Instant) -> f64 {
        let Some(at) = self.updated_at else {
            return 0.0;
        };
        let slow_for = self
            .slow_since
            .map_or(Duration::ZERO, |since| at.saturating_duration_since(since));
        let passed = now.saturating_duration_since(at).as_secs_f64();
        self.weight * (-passed / memory(slow_for).as_secs_f64()).exp()
    }
}

/// time within which the samples of a VM that has been slow for a time lose weight
fn memory(slow_for: Duration) -> Duration {
    slow_for.clamp(MIN_MEMORY, MAX_MEMORY)
}
