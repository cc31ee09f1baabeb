use std::time::Duration;

use super::load::Load;

/// prefill rate assumed for all engines
const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// time to the first token of an idle engine that holds the whole prompt
const BASE_FIRST_TOKEN: Duration = Duration::from_millis(60);

/// addition to the time to the first token for each running request: decode steps take longer,
/// and prefill runs in chunks between them
const FIRST_TOKEN_PER_RUNNING: Duration = Duration::from_micros(1500);

/// time until a slot is free when all are taken
const SLOT_TIME: Duration = Duration::from_millis(1500);

/// capacity of an engine
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// requests it runs concurrently
    pub slots: u32,
    /// size of the KV cache, tokens
    pub cache_tokens: u64,
}

/// time to prefill prompt tokens
pub(super) fn prefill_time(tokens: u64) -> Duration {
    Duration::from_secs_f64(tokens as f64 / PREFILL_TOKENS_PER_MS / 1000.0)
}

/// load that remains of one reported some time ago, as the engine has continued its prefill
pub(super) fn after_prefill(reported: &Load, age: Duration) -> Load {
    let prefilled = age.as_secs_f64() * 1000.0 * PREFILL_TOKENS_PER_MS;
    Load {
        prefill_tokens: reported.prefill_tokens.saturating_sub(prefilled as u64),
        ..*reported
    }
}

/// time to the first token of a request on an idle engine
pub(super) fn unloaded(prefill_tokens: u32) -> Duration {
    BASE_FIRST_TOKEN + prefill_time(u64::from(prefill_tokens))
}

/// expected time to the first token of a request with `prefill_tokens` to prefill and `held`
/// tokens to hold in the KV cache
pub(super) fn expected(
    capacity: &Capacity,
    load: &Load,
    prefill_tokens: u32,
    held: u32,
) -> Duration {
    let prefill = prefill_time(load.prefill_tokens + u64::from(prefill_tokens));
    let slots = capacity.slots.max(1);
    let waiting = (load.running + 1).saturating_sub(slots);
    let queue = SLOT_TIME.mul_f64(f64::from(waiting) / f64::from(slots));
    let held_tokens = load.held + u64::from(held);
    let excess = held_tokens.saturating_sub(capacity.cache_tokens) as f64
        / capacity.cache_tokens.max(1) as f64;
    let cache_wait = SLOT_TIME.mul_f64(excess);
    BASE_FIRST_TOKEN
        + prefill
        + FIRST_TOKEN_PER_RUNNING * load.running.min(slots)
        + queue
        + cache_wait
}
