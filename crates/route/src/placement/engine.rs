use std::time::Duration;

use macro_rules_attribute::apply;
use schema::message;

use super::load::Load;

/// addition to the time to the first token for each running request: decode steps take longer,
/// and prefill runs in chunks between them
pub(super) const FIRST_TOKEN_PER_RUNNING: Duration = Duration::from_micros(1500);

/// bounds of a prefill rate that is believed, tokens per millisecond
const MIN_TOKENS_PER_MS: f64 = 10.0;
const MAX_TOKENS_PER_MS: f64 = 1000.0;

/// bounds of a base time that is believed
const MIN_BASE: Duration = Duration::from_millis(5);
const MAX_BASE: Duration = Duration::from_millis(250);

/// bounds of a slot time that is believed
const MIN_SLOT_TIME: Duration = Duration::from_millis(200);
const MAX_SLOT_TIME: Duration = Duration::from_millis(6000);

/// capacity of an engine
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// requests it runs concurrently
    pub slots: u32,
    /// size of the KV cache, tokens
    pub cache_tokens: u64,
}

/// times of a service's engines: assumed, or learned from responses
///
/// Serialised as tokens per second, and microseconds.
#[apply(message!)]
#[derive(Copy)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct Timing {
    /// prompt tokens that an engine prefills in a millisecond
    pub tokens_per_ms: f64,
    /// time to the first token of an idle engine that holds the whole prompt
    pub base: Duration,
    /// time for which a request takes a slot
    pub slot_time: Duration,
}

impl Default for Timing {
    /// the times assumed for all engines until theirs are learned
    fn default() -> Timing {
        Timing {
            tokens_per_ms: 50.0,
            base: Duration::from_millis(60),
            slot_time: Duration::from_millis(1500),
        }
    }
}

impl From<(u64, u64, u64)> for Timing {
    fn from((tokens_per_s, base_us, slot_us): (u64, u64, u64)) -> Timing {
        Timing {
            tokens_per_ms: tokens_per_s as f64 / 1000.0,
            base: Duration::from_micros(base_us),
            slot_time: Duration::from_micros(slot_us),
        }
        .bounded()
    }
}

impl From<Timing> for (u64, u64, u64) {
    fn from(timing: Timing) -> (u64, u64, u64) {
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        (
            (timing.tokens_per_ms * 1000.0).round() as u64,
            micros(timing.base),
            micros(timing.slot_time),
        )
    }
}

impl Timing {
    /// the times, within the bounds of what is believed
    pub fn bounded(self) -> Timing {
        Timing {
            tokens_per_ms: self
                .tokens_per_ms
                .clamp(MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS),
            base: self.base.clamp(MIN_BASE, MAX_BASE),
            slot_time: self.slot_time.clamp(MIN_SLOT_TIME, MAX_SLOT_TIME),
        }
    }

    /// the times of an engine that is slower by a factor
    pub(super) fn slowed(&self, factor: f64) -> Timing {
        if factor <= 1.0 {
            return *self;
        }
        Timing {
            tokens_per_ms: self.tokens_per_ms / factor,
            base: self.base.mul_f64(factor),
            slot_time: self.slot_time.mul_f64(factor),
        }
    }

    /// time to prefill prompt tokens
    pub(super) fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.tokens_per_ms / 1000.0)
    }

    /// load that remains of one reported some time ago, as the engine has continued its prefill
    pub(super) fn after_prefill(&self, reported: &Load, age: Duration) -> Load {
        let prefilled = age.as_secs_f64() * 1000.0 * self.tokens_per_ms;
        Load {
            prefill_tokens: reported.prefill_tokens.saturating_sub(prefilled as u64),
            ..*reported
        }
    }

    /// time to the first token of a request on an idle engine
    pub(super) fn unloaded(&self, prefill_tokens: u32) -> Duration {
        self.base + self.prefill_time(u64::from(prefill_tokens))
    }

    /// expected time to the first token of a request with `prefill_tokens` to prefill and `held`
    /// tokens to hold in the KV cache
    pub(super) fn expected(
        &self,
        capacity: &Capacity,
        load: &Load,
        prefill_tokens: u32,
        held: u32,
    ) -> Duration {
        let prefill = self.prefill_time(load.prefill_tokens + u64::from(prefill_tokens));
        let slots = capacity.slots.max(1);
        let waiting = (load.running + 1).saturating_sub(slots);
        let queue = self
            .slot_time
            .mul_f64(f64::from(waiting) / f64::from(slots));
        let held_tokens = load.held + u64::from(held);
        let excess = held_tokens.saturating_sub(capacity.cache_tokens) as f64
            / capacity.cache_tokens.max(1) as f64;
        let cache_wait = self.slot_time.mul_f64(excess);
        self.base + prefill + FIRST_TOKEN_PER_RUNNING * load.running.min(slots) + queue + cache_wait
    }
}
