use std::collections::HashMap;

use tokio::time::Instant;

/// part of a VM's KV cache that parts of prompts may fill before the oldest are taken
/// to be gone: the rest holds running requests
const KEPT_PART: f64 = 0.7;

/// the parts of prompts that a VM has read, as far as this daemon knows
#[derive(Debug, Clone, Default)]
pub(super) struct Memory {
    parts: HashMap<u64, (u32, Instant)>,
    tokens: u64,
}

impl Memory {
    /// tokens of a prompt that the VM holds: its first parts up to the first one missing
    pub fn cached(&self, parts: &[(u64, u32)]) -> u32 {
        let held = parts
            .iter()
            .take_while(|(id, _)| self.parts.contains_key(id));
        held.map(|(_, tokens)| tokens).sum()
    }

    /// notes that the VM reads a prompt; the least recently used parts yield
    pub fn read(&mut self, parts: &[(u64, u32)], capacity: u64, now: Instant) {
        for (id, tokens) in parts {
            let known = self.parts.insert(*id, (*tokens, now));
            if known.is_none() {
                self.tokens += u64::from(*tokens);
            }
        }
        let most = (capacity as f64 * KEPT_PART) as u64;
        if self.tokens > most {
            self.shrink(most);
        }
    }

    fn shrink(&mut self, most: u64) {
        let mut ages: Vec<(Instant, u64, u32)> = Vec::with_capacity(self.parts.len());
        ages.extend(
            self.parts
                .iter()
                .map(|(id, (tokens, at))| (*at, *id, *tokens)),
        );
        ages.sort_unstable();
        for (_, id, tokens) in ages {
            if self.tokens <= most {
                break;
            }
            self.parts.remove(&id);
            self.tokens -= u64::from(tokens);
        }
    }
}
