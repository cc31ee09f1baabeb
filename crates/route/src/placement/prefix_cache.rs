use std::collections::HashMap;

use macro_rules_attribute::apply;
use schema::message;
use tokio::time::Instant;

/// prefill of the shared parts of a prompt at a VM
#[apply(message!)]
pub struct Prefill {
    /// the service
    pub service: String,
    /// the VM's instance id
    pub vm: String,
    /// ids and token counts of the parts
    pub parts: Vec<(u64, u32)>,
}

/// fraction of a VM's KV cache that prompt parts may fill before the least recently used are
/// assumed to be evicted; the rest holds running requests
const MAX_CACHED_FRACTION: f64 = 0.7;

/// estimate of the prompt parts in a VM's KV cache
#[derive(Debug, Clone, Default)]
pub(super) struct PrefixCache {
    parts: HashMap<u64, (u32, Instant)>,
    tokens: u64,
}

impl PrefixCache {
    /// returns the cached tokens of a prompt: those of its parts before the first one missing
    pub fn cached(&self, parts: &[(u64, u32)]) -> u32 {
        let leading = parts
            .iter()
            .take_while(|(id, _)| self.parts.contains_key(id));
        leading.map(|(_, tokens)| tokens).sum()
    }

    /// adds the parts of a prompt, and evicts the least recently used ones if there are too many
    ///
    /// `room` is what running requests leave of the capacity.
    pub fn insert(&mut self, parts: &[(u64, u32)], capacity: u64, room: u64, now: Instant) {
        for (id, tokens) in parts {
            let previous = self.parts.insert(*id, (*tokens, now));
            if previous.is_none() {
                self.tokens += u64::from(*tokens);
            }
        }
        let max_tokens = ((capacity as f64 * MAX_CACHED_FRACTION) as u64).min(room);
        if self.tokens > max_tokens {
            self.evict(max_tokens);
        }
    }

    fn evict(&mut self, max_tokens: u64) {
        let mut by_age: Vec<(Instant, u64, u32)> = Vec::with_capacity(self.parts.len());
        by_age.extend(
            self.parts
                .iter()
                .map(|(id, (tokens, at))| (*at, *id, *tokens)),
        );
        by_age.sort_unstable();
        for (_, id, tokens) in by_age {
            if self.tokens <= max_tokens {
                break;
            }
            self.parts.remove(&id);
            self.tokens -= u64::from(tokens);
        }
    }
}
