//! Prefix cache of blocks of words with LRU eviction.

use std::collections::{BTreeMap, HashMap};

use schema::engine::Event;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// words in one block
pub const BLOCK_WORDS: usize = 16;

/// hashes of the complete blocks of `words`, each chained to the block before it
pub fn block_hashes<'a>(words: impl Iterator<Item = &'a str>) -> Vec<u64> {
    let words: Vec<&str> = words.collect();
    let mut hashes = Vec::with_capacity(words.len() / BLOCK_WORDS);
    let mut previous = 0;
    for block in words.chunks_exact(BLOCK_WORDS) {
        previous = xxh3_64_with_seed(block.join(" ").as_bytes(), previous);
        hashes.push(previous);
    }
    hashes
}

/// a bounded set of block hashes, evicted in LRU order
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_use: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// an empty cache for up to `capacity` blocks
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// number of leading blocks that are cached; marks them as used
    pub fn find(&mut self, blocks: &[u64]) -> usize {
        let found = blocks
            .iter()
            .take_while(|block| self.last_use.contains_key(block))
            .count();
        for block in blocks[..found].iter().rev() {
            self.touch(*block);
        }
        found
    }

    /// stores blocks and returns what changed; `None` if all were already cached
    pub fn store(&mut self, blocks: &[u64]) -> Option<Event> {
        let mut stored = Vec::new();
        // In reverse order, so that the end of a chain is evicted first: a block is of no use
        // without those before it.
        for block in blocks.iter().rev() {
            if !self.last_use.contains_key(block) {
                stored.push(*block);
            }
            self.touch(*block);
        }
        let removed = self.evict();
        stored.retain(|block| self.last_use.contains_key(block));
        if stored.is_empty() && removed.is_empty() {
            return None;
        }
        Some(Event { stored, removed })
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(previous) = self.last_use.insert(block, self.clock) {
            self.by_last_use.remove(&previous);
        }
        self.by_last_use.insert(self.clock, block);
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut removed = Vec::new();
        while self.last_use.len() > self.capacity {
            let Some((_, block)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_use.remove(&block);
            removed.push(block);
        }
        removed
    }
}
