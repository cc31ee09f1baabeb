//! The prefix cache: blocks of words, the least recently used leave first.

use std::collections::{BTreeMap, HashMap};

use schema::engine::Event;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// words in one block
pub const BLOCK_WORDS: usize = 16;

/// chained hashes of the whole blocks of `words`
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

/// a bounded set of block hashes
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    oldest: BTreeMap<u64, u64>,
}

impl Cache {
    /// holds up to `capacity` blocks
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used: HashMap::new(),
            oldest: BTreeMap::new(),
        }
    }

    /// counts the leading blocks that are cached, and marks them as used
    pub fn find(&mut self, blocks: &[u64]) -> usize {
        let found = blocks
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count();
        for block in blocks[..found].iter().rev() {
            self.touch(*block);
        }
        found
    }

    /// stores blocks and returns the change; none if all were there
    pub fn store(&mut self, blocks: &[u64]) -> Option<Event> {
        let mut stored = Vec::new();
        // The first block is touched last, so that a chain loses its end first.
        for block in blocks.iter().rev() {
            if !self.used.contains_key(block) {
                stored.push(*block);
            }
            self.touch(*block);
        }
        let removed = self.evict();
        stored.retain(|block| self.used.contains_key(block));
        if stored.is_empty() && removed.is_empty() {
            return None;
        }
        Some(Event { stored, removed })
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(before) = self.used.insert(block, self.clock) {
            self.oldest.remove(&before);
        }
        self.oldest.insert(self.clock, block);
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut removed = Vec::new();
        while self.used.len() > self.capacity {
            let Some((_, block)) = self.oldest.pop_first() else {
                break;
            };
            self.used.remove(&block);
            removed.push(block);
        }
        removed
    }
}
