//! Statistics of one service, for what single VMs do not tell.

use std::sync::atomic::AtomicUsize;
use std::sync::{Mutex, PoisonError};

use schema::engine::Usage;
use tokio::time::Instant;

use super::rate::Rate;

/// weight of one observation in a moving mean
const WEIGHT: f64 = 0.05;

/// generated tokens of a request before the first answer
const OUTPUT_TOKENS: f64 = 128.0;

/// prefilled tokens of a request before the first answer
const PREFILL_TOKENS: f64 = 128.0;

/// share of a prefix found at its home before the first answer
const HOME_HIT: f64 = 0.5;

/// time to prefill one token before the first report, microseconds
const PREFILL_US: f64 = 250.0;

/// time of one step before the first report, microseconds
const STEP_US: f64 = 30_000.0;

/// moving means of one service
#[derive(Debug, Clone, Copy)]
pub(super) struct Means {
    /// tokens generated for a request
    pub output_tokens: f64,
    /// tokens prefilled for a request
    pub prefill_tokens: f64,
    /// share of a prefix that its home had cached without this daemon's knowledge
    pub home_hit: f64,
    /// streams that other daemons have on a VM
    pub others: f64,
    /// time to prefill one token, microseconds
    pub prefill_us: f64,
    /// time of one step, microseconds
    pub step_us: f64,
    /// time of one call of a plain service, microseconds; none for model engines
    pub call_us: Option<f64>,
    /// this daemon's own sends
    pub sends: Rate,
}

impl Means {
    /// returns the time that a request holds its slot, microseconds
    pub fn slot_us(&self, step_us: f64) -> f64 {
        self.call_us.unwrap_or(self.output_tokens * step_us)
    }
}

/// statistics shared by all VMs of a service
#[derive(Debug)]
pub(super) struct Stats {
    means: Mutex<Means>,
    /// counts the picks, for the policy that takes VMs in turn
    pub turn: AtomicUsize,
}

impl Stats {
    /// returns the statistics of an unused service
    pub fn new() -> Stats {
        let means = Means {
            output_tokens: OUTPUT_TOKENS,
            prefill_tokens: PREFILL_TOKENS,
            home_hit: HOME_HIT,
            others: 0.0,
            prefill_us: PREFILL_US,
            step_us: STEP_US,
            call_us: None,
            sends: Rate::default(),
        };
        Stats {
            means: Mutex::new(means),
            turn: AtomicUsize::new(0),
        }
    }

    /// returns a copy of the means
    pub fn means(&self) -> Means {
        *self.lock()
    }

    /// records a send
    pub fn sent(&self, now: Instant) {
        self.lock().sends.count(now);
    }

    /// records what an engine reported
    pub fn reported(&self, prefill_us: u64, step_us: u64) {
        let mut means = self.lock();
        approach(&mut means.prefill_us, prefill_us as f64);
        approach(&mut means.step_us, step_us as f64);
    }

    /// records the streams that other daemons have on a VM
    pub fn others(&self, streams: f64) {
        approach(&mut self.lock().others, streams);
    }

    /// records the cost of an answered request
    pub fn answered(&self, usage: &Usage) {
        let mut means = self.lock();
        approach(&mut means.output_tokens, f64::from(usage.completion_tokens));
        approach(
            &mut means.prefill_tokens,
            f64::from(usage.recomputed_tokens),
        );
    }

    /// records the time of a call of a plain service
    pub fn called(&self, call_us: f64) {
        let mut means = self.lock();
        let mut mean = means.call_us.unwrap_or(call_us);
        approach(&mut mean, call_us);
        means.call_us = Some(mean);
    }

    /// records the share of a prefix that its home had cached
    pub fn home(&self, share: f64) {
        approach(&mut self.lock().home_hit, share.clamp(0.0, 1.0));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Means> {
        self.means.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn approach(mean: &mut f64, value: f64) {
    *mean += WEIGHT * (value - *mean);
}
