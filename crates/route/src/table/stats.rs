//! Statistics of one service, for what the state of a single VM does not show.

use std::sync::atomic::AtomicUsize;
use std::sync::{Mutex, PoisonError};

use schema::engine::Usage;
use tokio::time::Instant;

use super::rate::Rate;

/// weight of a new observation in a moving average
const OBSERVATION_WEIGHT: f64 = 0.05;

/// generated tokens per request, assumed before the first response
const INITIAL_OUTPUT_TOKENS: f64 = 128.0;

/// prefilled tokens per request, assumed before the first response
const INITIAL_PREFILL_TOKENS: f64 = 128.0;

/// fraction of a prefix cached at its preferred VM, assumed before the first response
const INITIAL_PREFERRED_HIT_RATIO: f64 = 0.5;

/// time to prefill one token, assumed before the first report, microseconds
const INITIAL_PREFILL_US: f64 = 250.0;

/// time of one decode step, assumed before the first report, microseconds
const INITIAL_STEP_US: f64 = 30_000.0;

/// moving averages of one service
#[derive(Debug, Clone, Copy)]
pub(super) struct Means {
    /// tokens generated per request
    pub output_tokens: f64,
    /// tokens prefilled per request
    pub prefill_tokens: f64,
    /// fraction of a prefix cached at its preferred VM when this daemon's own estimate was lower
    pub preferred_hit_ratio: f64,
    /// streams of other daemons per VM
    pub peer_streams: f64,
    /// time to prefill one token, microseconds
    pub prefill_us: f64,
    /// time of one decode step, microseconds
    pub step_us: f64,
    /// time of one call of a plain service, microseconds; none for model engines
    pub call_us: Option<f64>,
    /// requests sent by this daemon
    pub sends: Rate,
}

impl Means {
    /// time for which a request occupies its slot, microseconds
    pub fn slot_hold_us(&self, step_us: f64) -> f64 {
        self.call_us.unwrap_or(self.output_tokens * step_us)
    }
}

/// statistics shared by all VMs of a service
#[derive(Debug)]
pub(super) struct Stats {
    means: Mutex<Means>,
    /// counts the picks of the round-robin policy
    pub round_robin: AtomicUsize,
}

impl Stats {
    /// creates the statistics of a service without observations
    pub fn new() -> Stats {
        let means = Means {
            output_tokens: INITIAL_OUTPUT_TOKENS,
            prefill_tokens: INITIAL_PREFILL_TOKENS,
            preferred_hit_ratio: INITIAL_PREFERRED_HIT_RATIO,
            peer_streams: 0.0,
            prefill_us: INITIAL_PREFILL_US,
            step_us: INITIAL_STEP_US,
            call_us: None,
            sends: Rate::default(),
        };
        Stats {
            means: Mutex::new(means),
            round_robin: AtomicUsize::new(0),
        }
    }

    /// returns a copy of the means
    pub fn means(&self) -> Means {
        *self.lock()
    }

    /// records that a request was sent
    pub fn record_send(&self, now: Instant) {
        self.lock().sends.count(now);
    }

    /// records the speed that an engine reported
    pub fn record_speed(&self, prefill_us: u64, step_us: u64) {
        let mut means = self.lock();
        update_mean(&mut means.prefill_us, prefill_us as f64);
        update_mean(&mut means.step_us, step_us as f64);
    }

    /// records the streams of other daemons on a VM
    pub fn record_peer_streams(&self, streams: f64) {
        update_mean(&mut self.lock().peer_streams, streams);
    }

    /// records the token counts of an answered request
    pub fn record_usage(&self, usage: &Usage) {
        let mut means = self.lock();
        update_mean(&mut means.output_tokens, f64::from(usage.completion_tokens));
        update_mean(
            &mut means.prefill_tokens,
            f64::from(usage.recomputed_tokens),
        );
    }

    /// records the duration of a call of a plain service
    pub fn record_call(&self, call_us: f64) {
        let mut means = self.lock();
        let mut mean = means.call_us.unwrap_or(call_us);
        update_mean(&mut mean, call_us);
        means.call_us = Some(mean);
    }

    /// records the fraction of a prefix that its preferred VM had cached
    pub fn record_preferred_hit(&self, ratio: f64) {
        update_mean(&mut self.lock().preferred_hit_ratio, ratio.clamp(0.0, 1.0));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Means> {
        self.means.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn update_mean(mean: &mut f64, value: f64) {
    *mean += OBSERVATION_WEIGHT * (value - *mean);
}
