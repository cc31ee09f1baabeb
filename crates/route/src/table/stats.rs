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

/// moving means of one service
#[derive(Debug, Clone, Copy)]
pub(super) struct Means {
    /// tokens generated for a request
    pub output_tokens: f64,
    /// tokens prefilled for a request
    pub prefill_tokens: f64,
    /// share of a prefix that its home had cached without this daemon's knowledge
    pub home_hit: f64,
    /// queue of a VM by its reports, microseconds
    pub queue_us: f64,
    /// time to prefill one token, microseconds
    pub prefill_us: f64,
    /// time of one step, microseconds
    pub step_us: f64,
    /// this daemon's own sends
    pub sends: Rate,
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
            queue_us: 0.0,
            prefill_us: 250.0,
            step_us: 30_000.0,
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
    pub fn reported(&self, queue_us: f64, prefill_us: u64, step_us: u64) {
        let mut means = self.lock();
        approach(&mut means.queue_us, queue_us);
        approach(&mut means.prefill_us, prefill_us as f64);
        approach(&mut means.step_us, step_us as f64);
    }

    /// records the queue of a VM that another daemon told of
    pub fn heard(&self, queue_us: f64) {
        approach(&mut self.lock().queue_us, queue_us);
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
