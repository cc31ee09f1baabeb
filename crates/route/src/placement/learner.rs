//! Times of a service's engines, learned from responses.
//!
//! Load pattern: the engines of one deployment prefill 157 tokens in a millisecond, those of
//! another one 62, where 50 are assumed. While two thirds of the faster VMs are lost, requests that
//! the rest could serve in time are refused.
//!
//! The time to the first event contains queueing behind requests of other daemons, which are known
//! late, and VMs that are slow for a time. Both hardly depend on the size of the request's own
//! prompt, so the prefill rate is taken from the differences between pairs of requests (Theil and
//! Sen: the median over the slopes of all pairs, which up to 29 % of outliers do not move far).
//! Daemons add up their estimates, since each sees a few requests a second only. What was learned is
//! in effect only while it departs clearly from what is assumed.

use std::collections::VecDeque;
use std::time::Duration;

use macro_rules_attribute::apply;
use schema::message;
use tokio::time::Instant;

use super::engine::{FIRST_TOKEN_PER_RUNNING, Timing};

/// first events of which the times are kept, which bounds the time of an estimate
const MAX_SAMPLES: usize = 48;

/// fewest first events, and pairs of them, for an estimate
const MIN_SAMPLES: usize = 12;

/// fewest first events from which is learned, relative to the streams that ended in the same time:
/// with fewer, most daemons see too much queueing, and the rest is no fair sample
const MIN_SAMPLES_PER_STREAM: f64 = 0.34;

/// age after which a sample is not used
const SAMPLE_TTL: Duration = Duration::from_secs(30);

/// time after the first request in which nothing is learned: VMs may hold prompts that a daemon
/// which has just started does not know of, which makes them look fast
pub(super) const WARM_UP: Duration = Duration::from_secs(3);

/// smallest difference between the prompts of two requests that are compared, tokens
const MIN_DIFFERENCE: u32 = 2000;

/// longest known time in the queue of a request from which is learned: with longer ones, most of the
/// queueing is behind requests of other daemons that are not known yet
const MAX_WAIT: Duration = Duration::from_millis(20);

/// median deviation of the times from the estimate above which queueing dominates them, so that the
/// estimate is a rough one: an overload of engines that match the assumption looks like slow engines
const MAX_DEVIATION_MS: f64 = 25.0;

/// samples of all daemons below which nothing changes
const MIN_TOTAL_SAMPLES: u32 = 48;

/// ratio between the learned and the assumed prefill rate from which the learned times are used
const ENTER_RATIO: f64 = 1.4;

/// consecutive estimates that have to depart from the assumed times, unless another daemon uses
/// learned times already
const MIN_DEPARTURES: u32 = 4;

/// ratio below which the assumed times are used again
const LEAVE_RATIO: f64 = 1.25;

/// largest number of samples that is believed
const MAX_TOTAL_SAMPLES: u32 = 1_000_000;

/// a first event that was received
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// prompt tokens that the VM had to prefill for it
    pub prefill_tokens: u32,
    /// requests in flight at the VM when it was sent
    pub running: u32,
    /// expected queueing time when it was sent
    pub wait: Duration,
    /// expected time when it was sent
    pub expected: Duration,
    /// part of it that was measured beyond what reports show
    pub excess: Duration,
    /// time from sending to the first event
    pub took: Duration,
}

/// sum over daemons of what they measured of a service's engines
///
/// Serialised as a tuple of integers: samples, nanoseconds of prefill for a token and microseconds
/// of base time for each of them, streams, milliseconds of their durations, and daemons that use
/// learned times.
#[apply(message!)]
#[derive(Copy, Default)]
#[serde(
    from = "(u32, i64, i64, u32, u64, u32)",
    into = "(u32, i64, i64, u32, u64, u32)"
)]
pub struct Measurement {
    samples: u32,
    /// sums over the samples
    ns_per_token: f64,
    base_us: f64,
    streams: u32,
    stream_ms: f64,
    learned: u32,
}

impl From<(u32, i64, i64, u32, u64, u32)> for Measurement {
    fn from(fields: (u32, i64, i64, u32, u64, u32)) -> Measurement {
        let (samples, ns_per_token, base_us, streams, stream_ms, learned) = fields;
        Measurement {
            samples: samples.min(MAX_TOTAL_SAMPLES),
            ns_per_token: ns_per_token as f64,
            base_us: base_us as f64,
            streams: streams.min(MAX_TOTAL_SAMPLES),
            stream_ms: stream_ms as f64,
            learned,
        }
    }
}

impl From<Measurement> for (u32, i64, i64, u32, u64, u32) {
    fn from(measured: Measurement) -> (u32, i64, i64, u32, u64, u32) {
        (
            measured.samples,
            measured.ns_per_token.round() as i64,
            measured.base_us.round() as i64,
            measured.streams,
            measured.stream_ms.round() as u64,
            measured.learned,
        )
    }
}

impl Measurement {
    /// whether nothing was measured
    pub fn is_empty(&self) -> bool {
        self.samples == 0 && self.streams == 0
    }

    /// adds what other daemons measured
    pub fn add(&mut self, other: &Measurement) {
        self.samples = self.samples.saturating_add(other.samples);
        self.ns_per_token += other.ns_per_token;
        self.base_us += other.base_us;
        self.streams = self.streams.saturating_add(other.streams);
        self.stream_ms += other.stream_ms;
        self.learned = self.learned.saturating_add(other.learned);
    }

    /// the mean over all daemons; none with too few samples, or if most daemons have none
    fn timing(&self, current: &Timing) -> Option<Timing> {
        let is_fair = f64::from(self.samples) >= f64::from(self.streams) * MIN_SAMPLES_PER_STREAM;
        is_fair.then(|| self.mean(current)).flatten()
    }

    /// the mean over all daemons; none with too few samples
    fn mean(&self, current: &Timing) -> Option<Timing> {
        if self.samples < MIN_TOTAL_SAMPLES {
            return None;
        }
        let samples = f64::from(self.samples);
        // not positive if prompts make no difference: the bound of the rate is used
        let ns_per_token = (self.ns_per_token / samples).max(1.0);
        let base_us = (self.base_us / samples).max(0.0);
        let slot_time = if self.streams < MIN_TOTAL_SAMPLES {
            current.slot_time
        } else {
            Duration::from_millis((self.stream_ms / f64::from(self.streams)) as u64)
        };
        let timing = Timing {
            tokens_per_ms: 1e6 / ns_per_token,
            base: Duration::from_micros(base_us as u64),
            slot_time,
        };
        Some(timing.bounded())
    }
}

/// measured times of a service's engines and what follows from them
#[derive(Debug, Clone, Default)]
pub(super) struct Learner {
    /// times in effect, if they are not the assumed ones
    learned: Option<Timing>,
    /// consecutive estimates that departed from the assumed times
    departures: u32,
    first_at: Option<Instant>,
    /// prefilled tokens and milliseconds to the first event without running requests' part
    samples: VecDeque<(Instant, u32, f64)>,
    /// milliseconds for which a slot was taken
    streams: VecDeque<(Instant, f64)>,
}

impl Learner {
    /// the times in effect
    pub fn timing(&self) -> Timing {
        self.learned.unwrap_or_default()
    }

    /// the times in effect, if they are not the assumed ones
    pub fn learned(&self) -> Option<Timing> {
        self.learned
    }

    /// sets the times that were in effect before this process started
    pub fn restore(&mut self, timing: Timing) {
        self.learned = Some(timing.bounded());
    }

    /// records a first event
    pub fn record(&mut self, sample: &Sample, warm_up: Duration, now: Instant) {
        let first_at = *self.first_at.get_or_insert(now);
        let decoding = FIRST_TOKEN_PER_RUNNING * sample.running.min(u32::from(u16::MAX));
        if now < first_at + warm_up || sample.wait > MAX_WAIT + decoding {
            return;
        }
        let took = sample.took.saturating_sub(decoding);
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        let ms = took.as_secs_f64() * 1000.0;
        self.samples.push_back((now, sample.prefill_tokens, ms));
    }

    /// records the duration of a complete stream
    pub fn record_stream(&mut self, took: Duration, now: Instant) {
        if self.streams.len() >= MAX_SAMPLES {
            self.streams.pop_front();
        }
        self.streams.push_back((now, took.as_secs_f64() * 1000.0));
    }

    /// what this daemon has measured lately: as long as queueing is short, and in any case
    pub fn measured(&mut self, now: Instant) -> [Measurement; 2] {
        let is_old = |at: Instant| now.saturating_duration_since(at) > SAMPLE_TTL;
        while self.samples.front().is_some_and(|(at, ..)| is_old(*at)) {
            self.samples.pop_front();
        }
        while self.streams.front().is_some_and(|(at, _)| is_old(*at)) {
            self.streams.pop_front();
        }
        let mut measured = Measurement::default();
        let mut rough = Measurement::default();
        if let Some((ns_per_token, base_us, deviation_ms)) = self.prefill() {
            let of = |samples: u32| Measurement {
                samples,
                ns_per_token: ns_per_token * f64::from(samples),
                base_us: base_us * f64::from(samples),
                ..Measurement::default()
            };
            if deviation_ms <= MAX_DEVIATION_MS {
                measured = of(self.samples.len() as u32);
            }
            // the error of a slope grows with the deviation, and as many times more samples, squared, make up
            // for it
            let weight = (MAX_DEVIATION_MS / deviation_ms.max(MAX_DEVIATION_MS)).powi(2);
            rough = of((self.samples.len() as f64 * weight).round() as u32);
        }
        measured.streams = self.streams.len() as u32;
        measured.stream_ms = self.stream_ms() * f64::from(measured.streams);
        (rough.streams, rough.stream_ms) = (measured.streams, measured.stream_ms);
        measured.learned = u32::from(self.learned.is_some());
        [measured, rough]
    }

    /// applies the sums of what all daemons measured; returns whether other times are in effect now
    ///
    /// Load pattern: fast engines are overloaded from the first second on, so that no daemon measures them
    /// without queueing. Queueing makes engines look slow, so a rough measurement of faster ones is
    /// believed.
    pub fn apply(&mut self, total: &Measurement, rough: &Measurement) -> bool {
        let (assumed, current) = (Timing::default(), self.timing());
        let is_faster =
            |timing: &Timing| timing.tokens_per_ms >= current.tokens_per_ms * ENTER_RATIO;
        let roughly = || rough.mean(&current).filter(is_faster);
        let Some(timing) = total.timing(&current).or_else(roughly) else {
            return false;
        };
        let ratio = timing.tokens_per_ms / assumed.tokens_per_ms;
        let departure = ratio.max(1.0 / ratio);
        let was_learned = self.learned.is_some();
        self.departures = if departure >= ENTER_RATIO {
            self.departures.saturating_add(1)
        } else {
            0
        };
        let is_used = if was_learned {
            departure >= LEAVE_RATIO
        } else {
            departure >= ENTER_RATIO && (total.learned > 0 || self.departures >= MIN_DEPARTURES)
        };
        self.learned = is_used.then_some(timing);
        was_learned != self.learned.is_some()
    }

    /// nanoseconds of prefill for a token, the base time in microseconds, and the median deviation from both
    /// in milliseconds
    fn prefill(&self) -> Option<(f64, f64, f64)> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        // slopes between pairs, weighted by the difference in tokens: that of a small difference
        // is mostly noise
        let mut slopes: Vec<(f64, u32)> = Vec::new();
        for (index, (_, tokens, ms)) in self.samples.iter().enumerate() {
            for (_, other_tokens, other_ms) in self.samples.iter().skip(index + 1) {
                let difference = tokens.abs_diff(*other_tokens);
                if difference < MIN_DIFFERENCE {
                    continue;
                }
                let slope = (ms - other_ms) / (f64::from(*tokens) - f64::from(*other_tokens));
                slopes.push((slope, difference));
            }
        }
        if slopes.len() < MIN_SAMPLES {
            return None;
        }
        let slope = weighted_median(&mut slopes);
        let base = |(_, tokens, ms): &(Instant, u32, f64)| (ms - slope * f64::from(*tokens), 1);
        let mut bases: Vec<(f64, u32)> = self.samples.iter().map(base).collect();
        let base = weighted_median(&mut bases);
        let deviation = |(ms, _): &(f64, u32)| ((ms - base).abs(), 1);
        let mut deviations: Vec<(f64, u32)> = bases.iter().map(deviation).collect();
        Some((slope * 1e6, base * 1e3, weighted_median(&mut deviations)))
    }

    /// mean duration of the streams; a few that last for a multiple of the median count as that
    /// multiple
    fn stream_ms(&self) -> f64 {
        if self.streams.is_empty() {
            return 0.0;
        }
        let mut values: Vec<(f64, u32)> = self.streams.iter().map(|(_, ms)| (*ms, 1)).collect();
        let longest = weighted_median(&mut values) * MAX_STREAM_RATIO;
        let sum: f64 = values.iter().map(|(ms, _)| ms.min(longest)).sum();
        sum / values.len() as f64
    }
}

/// duration of a stream, relative to the median, beyond which it counts as an outlier
const MAX_STREAM_RATIO: f64 = 4.0;

/// median of values with weights; the values are sorted
fn weighted_median(values: &mut [(f64, u32)]) -> f64 {
    values.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
    let total: u64 = values.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut passed = 0;
    for (value, weight) in values.iter() {
        passed += u64::from(*weight);
        if passed * 2 >= total {
            return *value;
        }
    }
    0.0
}
