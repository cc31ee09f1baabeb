//! Estimated contents of a VM's prefix cache.
//!
//! Cache events arrive late and with gaps, so they are only hints. Blocks are kept in two
//! generations: a block that is seen again moves to the young one. When the young
//! generation is full, it replaces the old one, whose blocks are dropped. A gap in the
//! events also replaces the old generation and lowers the estimate's accuracy, which is
//! then corrected by the cached tokens that the engine reports.

use std::collections::HashSet;
use std::mem;

use schema::engine::Events;

/// maximum blocks per generation; 65,536 tokens at 16 tokens per block
const MAX_GENERATION_BLOCKS: usize = 4096;

/// minimum capacity of one generation, blocks
const MIN_GENERATION_BLOCKS: usize = 256;

/// blocks kept for all VMs together
const MAX_TOTAL_BLOCKS: usize = 1 << 19;

/// weight of a new observation in the moving average of the accuracy
const ACCURACY_WEIGHT: f64 = 0.2;

/// factor on the accuracy at a gap in the events
const GAP_ACCURACY_FACTOR: f64 = 0.7;

/// lower bound of the accuracy
const MIN_ACCURACY: f64 = 0.1;

/// estimated contents of the prefix cache of one VM
#[derive(Debug)]
pub(super) struct CacheEstimate {
    young: HashSet<u64>,
    old: HashSet<u64>,
    generation_blocks: usize,
    accuracy: f64,
}

impl CacheEstimate {
    /// creates the estimate of an empty cache
    pub fn new() -> CacheEstimate {
        CacheEstimate {
            young: HashSet::new(),
            old: HashSet::new(),
            generation_blocks: MAX_GENERATION_BLOCKS,
            accuracy: 1.0,
        }
    }

    /// sets the number of VMs that share the limit on all blocks
    pub fn set_vm_count(&mut self, vms: usize) {
        let blocks = MAX_TOTAL_BLOCKS / 2 / vms.max(1);
        self.generation_blocks = blocks.clamp(MIN_GENERATION_BLOCKS, MAX_GENERATION_BLOCKS);
    }

    /// number of leading blocks estimated to be cached
    ///
    /// Engines cache contiguous prefixes, so a binary search suffices. Evicted blocks in the
    /// middle of a prefix make the result too small or too large.
    pub fn prefix_blocks(&self, blocks: &[u64]) -> usize {
        match blocks.first() {
            Some(first) if self.contains(*first) => (),
            _ => return 0,
        }
        blocks.partition_point(|block| self.contains(*block))
    }

    /// fraction of the tokens estimated as cached that recently were, as a moving average
    pub fn accuracy(&self) -> f64 {
        self.accuracy
    }

    /// number of blocks estimated to be cached
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// adds blocks as cached
    pub fn insert(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.touch(*block);
        }
    }

    /// applies the engine's cache events
    pub fn apply(&mut self, events: &Events) {
        if events.gap {
            self.rotate();
            self.accuracy = (self.accuracy * GAP_ACCURACY_FACTOR).max(MIN_ACCURACY);
        }
        for event in &events.events {
            for block in &event.removed {
                self.young.remove(block);
                self.old.remove(block);
            }
            self.insert(&event.stored);
        }
    }

    /// updates the accuracy from the tokens that the engine found cached
    pub fn update_accuracy(&mut self, estimated_tokens: u32, cached_tokens: u32) {
        if estimated_tokens == 0 {
            return;
        }
        let found = f64::from(cached_tokens) / f64::from(estimated_tokens);
        self.accuracy += ACCURACY_WEIGHT * (found.min(1.0) - self.accuracy);
        self.accuracy = self.accuracy.max(MIN_ACCURACY);
    }

    /// resets the estimate to an empty cache, after the VM was lost
    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
        self.accuracy = 1.0;
    }

    fn contains(&self, block: u64) -> bool {
        self.young.contains(&block) || self.old.contains(&block)
    }

    fn touch(&mut self, block: u64) {
        if !self.young.insert(block) {
            return;
        }
        self.old.remove(&block);
        if self.young.len() >= self.generation_blocks {
            self.rotate();
        }
    }

    fn rotate(&mut self) {
        self.old = mem::take(&mut self.young);
    }
}
