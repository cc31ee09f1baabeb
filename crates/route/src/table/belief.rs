//! What a VM's prefix cache is believed to hold.
//!
//! Cache events come late and with gaps, so they are hints. Blocks are kept in two
//! generations: a block that is seen again moves to the young one, and when that is
//! full it becomes the old one and the old one is forgotten. A gap ages both and
//! lowers the trust, which the engine's own count of cached tokens corrects.

use std::collections::HashSet;
use std::mem;

use schema::engine::Events;

/// most blocks in one generation; at 16 tokens a block, 65,536 tokens
const GENERATION_MOST: usize = 4096;

/// least blocks in one generation
const GENERATION_LEAST: usize = 256;

/// blocks remembered over all VMs
const BLOCKS_ALL: usize = 1 << 19;

/// weight of one observation in the trust
const TRUST_WEIGHT: f64 = 0.2;

/// factor on the trust at a gap
const GAP_TRUST: f64 = 0.7;

/// least trust
const TRUST_LEAST: f64 = 0.1;

/// belief about the prefix cache of one VM
#[derive(Debug)]
pub(super) struct Belief {
    young: HashSet<u64>,
    old: HashSet<u64>,
    generation: usize,
    trust: f64,
}

impl Belief {
    /// believes the cache empty
    pub fn new() -> Belief {
        Belief {
            young: HashSet::new(),
            old: HashSet::new(),
            generation: GENERATION_MOST,
            trust: 1.0,
        }
    }

    /// bounds what is remembered by the number of VMs that share the memory
    pub fn bound(&mut self, vms: usize) {
        let generation = BLOCKS_ALL / 2 / vms.max(1);
        self.generation = generation.clamp(GENERATION_LEAST, GENERATION_MOST);
    }

    /// returns how many leading blocks are believed cached
    ///
    /// Engines cache prefixes whole, so that a binary search will do; blocks that were
    /// evicted in between make it an underestimate or an overestimate.
    pub fn depth(&self, blocks: &[u64]) -> usize {
        match blocks.first() {
            Some(first) if self.holds(*first) => (),
            _ => return 0,
        }
        blocks.partition_point(|block| self.holds(*block))
    }

    /// returns the share of believed tokens that were cached of late
    pub fn trust(&self) -> f64 {
        self.trust
    }

    /// returns the number of blocks believed cached
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// believes blocks cached
    pub fn store(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.touch(*block);
        }
    }

    /// takes in the engine's cache events
    pub fn apply(&mut self, events: &Events) {
        if events.gap {
            self.rotate();
            self.trust = (self.trust * GAP_TRUST).max(TRUST_LEAST);
        }
        for event in &events.events {
            for block in &event.removed {
                self.young.remove(block);
                self.old.remove(block);
            }
            self.store(&event.stored);
        }
    }

    /// corrects the trust by what the engine found cached
    pub fn correct(&mut self, believed_tokens: u32, cached_tokens: u32) {
        if believed_tokens == 0 {
            return;
        }
        let found = f64::from(cached_tokens) / f64::from(believed_tokens);
        self.trust += TRUST_WEIGHT * (found.min(1.0) - self.trust);
        self.trust = self.trust.max(TRUST_LEAST);
    }

    /// believes the cache empty, after the VM was lost
    pub fn forget(&mut self) {
        self.young.clear();
        self.old.clear();
        self.trust = 1.0;
    }

    fn holds(&self, block: u64) -> bool {
        self.young.contains(&block) || self.old.contains(&block)
    }

    fn touch(&mut self, block: u64) {
        if !self.young.insert(block) {
            return;
        }
        self.old.remove(&block);
        if self.young.len() >= self.generation {
            self.rotate();
        }
    }

    fn rotate(&mut self) {
        self.old = mem::take(&mut self.young);
    }
}
