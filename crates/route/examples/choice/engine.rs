//! Simulated model engine: a queue, one prefill at a time, slots, and a prefix cache.

use std::collections::{BTreeMap, HashMap, VecDeque};

use route::table::Permit;
use schema::engine::{Event, Events, Load, Usage};

/// tokens per block
pub const BLOCK_TOKENS: u32 = 16;

/// time to prefill one token, microseconds
pub const PREFILL_US: u64 = 250;

/// time of one decode step, microseconds
pub const STEP_US: u64 = 30_000;

/// streams that run at the same time
pub const SLOTS: u32 = 16;

/// capacity of the prefix cache, blocks
const CACHE_BLOCKS: usize = 2048;

/// a request sent to an engine
#[derive(Debug)]
pub struct Job {
    pub daemon: usize,
    pub permit: Permit,
    pub blocks: Vec<u64>,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    pub arrived_us: u64,
    pub cached_tokens: u32,
}

/// a prefix cache that evicts the least recently used block
#[derive(Debug, Default)]
struct Cache {
    last_used: HashMap<u64, u64>,
    by_last_used: BTreeMap<u64, u64>,
    clock: u64,
}

/// a simulated engine
#[derive(Debug, Default)]
pub struct Engine {
    pub queue: VecDeque<Job>,
    pub prefilling: Option<Job>,
    pub running: u32,
    cache: Cache,
    events: Vec<Event>,
}

impl Cache {
    fn depth(&self, blocks: &[u64]) -> usize {
        let cached = blocks
            .iter()
            .take_while(|block| self.last_used.contains_key(block));
        cached.count()
    }

    fn store(&mut self, blocks: &[u64]) -> Event {
        let mut event = Event {
            stored: Vec::new(),
            removed: Vec::new(),
        };
        for block in blocks.iter().rev() {
            self.clock += 1;
            match self.last_used.insert(*block, self.clock) {
                Some(old) => {
                    self.by_last_used.remove(&old);
                }
                None => event.stored.push(*block),
            }
            self.by_last_used.insert(self.clock, *block);
        }
        while self.last_used.len() > CACHE_BLOCKS {
            let Some((_, block)) = self.by_last_used.pop_first() else {
                break;
            };
            self.last_used.remove(&block);
            event.removed.push(block);
        }
        event
    }
}

impl Engine {
    /// starts the next prefill if possible and returns its duration in microseconds
    pub fn start_prefill(&mut self) -> Option<u64> {
        if self.prefilling.is_some() || self.running >= SLOTS {
            return None;
        }
        let mut job = self.queue.pop_front()?;
        let cached = self.cache.depth(&job.blocks) as u32 * BLOCK_TOKENS;
        job.cached_tokens = cached.min(job.prompt_tokens);
        let time_us = u64::from(job.prompt_tokens - job.cached_tokens) * PREFILL_US;
        self.prefilling = Some(job);
        Some(time_us)
    }

    /// ends the prefill and starts decoding
    pub fn finish_prefill(&mut self) -> Option<Job> {
        let job = self.prefilling.take()?;
        let event = self.cache.store(&job.blocks);
        self.events.push(event);
        self.running += 1;
        Some(job)
    }

    /// load report
    pub fn load(&self) -> Load {
        let waiting: u64 = self
            .queue
            .iter()
            .map(|job| u64::from(job.prompt_tokens))
            .sum();
        let prefilling = self.prefilling.as_ref();
        let uncached = prefilling.map_or(0, |job| u64::from(job.prompt_tokens - job.cached_tokens));
        Load {
            running: self.running + u32::from(prefilling.is_some()),
            waiting: self.queue.len() as u32,
            waiting_tokens: waiting + uncached / 2,
            slots: SLOTS,
            step_us: STEP_US,
            prefill_us: PREFILL_US,
            leaving: false,
        }
    }

    /// cache events since the last call, or a gap if they are to be lost
    pub fn take_events(&mut self, lost: bool) -> Events {
        let events = std::mem::take(&mut self.events);
        Events {
            next: 0,
            gap: lost,
            events: if lost { Vec::new() } else { events },
        }
    }

    /// streams that run or wait
    pub fn streams(&self) -> u32 {
        self.running + self.queue.len() as u32 + u32::from(self.prefilling.is_some())
    }
}

impl Job {
    /// token counts reported by the engine
    pub fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.output_tokens,
            cached_tokens: self.cached_tokens,
            recomputed_tokens: self.prompt_tokens - self.cached_tokens,
        }
    }
}
