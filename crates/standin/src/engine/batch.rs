//! The continuous batch: who waits, who runs, and what a step costs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use schema::engine::{Completion, Load};

use super::cache::{BLOCK_WORDS, Cache, block_hashes};
use super::journal::Journal;
use super::options::Options;
use super::run::Run;
use super::stream::Stream;

/// all streams of one engine and their prefix cache
#[derive(Debug)]
pub struct Batch {
    options: Options,
    streams: HashMap<String, Arc<Stream>>,
    waiting: Vec<Arc<Stream>>,
    running: Vec<Running>,
    ended: Vec<Run>,
    cache: Cache,
    events: Journal,
}

#[derive(Debug)]
struct Running {
    stream: Arc<Stream>,
    blocks: Vec<u64>,
    prefill_left: u32,
}

/// a completion that was not taken
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// its prior tokens are not this engine's answer
    WrongPrior,
    /// a stream of this name is known
    Known,
}

impl Batch {
    /// an idle batch
    pub fn new(options: &Options) -> Self {
        let lag = Duration::from_millis(options.event_lag_ms);
        Self {
            options: options.clone(),
            streams: HashMap::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            ended: Vec::new(),
            cache: Cache::new(options.cache_blocks),
            events: Journal::new(lag, options.gap_percent, options.seed),
        }
    }

    /// queues a completion
    pub fn submit(&mut self, completion: Completion) -> Result<Arc<Stream>, Rejection> {
        if self.streams.contains_key(&completion.request_id) {
            return Err(Rejection::Known);
        }
        let name = completion.request_id.clone();
        let stream = Arc::new(Stream::new(completion).ok_or(Rejection::WrongPrior)?);
        self.streams.insert(name, Arc::clone(&stream));
        self.waiting.push(Arc::clone(&stream));
        Ok(stream)
    }

    /// a stream that runs, waits or ended recently
    pub fn find(&self, request_id: &str) -> Option<Arc<Stream>> {
        self.streams.get(request_id).cloned()
    }

    /// true if there is nothing to step
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// starts a step and returns its time
    pub fn begin(&mut self) -> Duration {
        self.sweep();
        self.admit();
        let prefilled = self.prefill();
        let micros = self.step_us() + u64::from(prefilled) * self.options.prefill_us;
        Duration::from_micros(micros)
    }

    /// ends a step: one token for each stream whose prefill is done
    pub fn finish(&mut self) {
        for running in &self.running {
            if running.prefill_left == 0 {
                running.stream.step();
            }
        }
        self.sweep();
    }

    /// takes streams that ended or were given up out of the batch
    pub fn sweep(&mut self) {
        let grace = Duration::from_millis(self.options.grace_ms);
        let is_over = |stream: &Stream| {
            stream.expire(grace);
            stream.is_ended()
        };
        let waiting = self.waiting.extract_if(.., |stream| is_over(stream));
        self.ended.extend(waiting.map(|stream| stream.run()));
        let running = self
            .running
            .extract_if(.., |running| is_over(&running.stream));
        for stream in running.map(|running| running.stream).collect::<Vec<_>>() {
            self.ended.push(stream.run());
            self.store(&block_hashes(stream.text().split_whitespace()));
        }
    }

    /// forgets streams that can't be read again
    pub fn forget(&mut self) {
        let keep = Duration::from_millis(self.options.keep_ms);
        self.streams.retain(|_, stream| !stream.is_stale(keep));
    }

    /// inserts blocks into the prefix cache
    pub fn store(&mut self, blocks: &[u64]) {
        if let Some(event) = self.cache.store(blocks) {
            self.events.push(event);
        }
    }

    /// published cache events
    pub fn events(&self) -> &Journal {
        &self.events
    }

    /// load at this moment
    pub fn load(&self) -> Load {
        let waiting: u64 = self
            .waiting
            .iter()
            .map(|s| u64::from(s.prefill_tokens()))
            .sum();
        let prefill: u64 = self.running.iter().map(|r| u64::from(r.prefill_left)).sum();
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            waiting_tokens: waiting + prefill,
            slots: self.options.slots,
            step_us: self.step_us(),
            prefill_us: self.options.prefill_us,
            leaving: false,
        }
    }

    /// everything taken so far
    pub fn record(&self) -> Vec<Run> {
        let mut runs = self.ended.clone();
        runs.extend(self.running.iter().map(|running| running.stream.run()));
        runs.extend(self.waiting.iter().map(|stream| stream.run()));
        runs
    }

    fn step_us(&self) -> u64 {
        self.options.step_us + self.options.running_us * self.running.len() as u64
    }

    fn admit(&mut self) {
        while self.running.len() < self.options.slots as usize && !self.waiting.is_empty() {
            let stream = self.take_next();
            let blocks = block_hashes(stream.text().split_whitespace());
            let cached = (self.cache.find(&blocks) * BLOCK_WORDS) as u32;
            stream.admit(cached);
            let prefill_left = stream.prefill_tokens().saturating_sub(cached);
            self.running.push(Running {
                stream,
                blocks,
                prefill_left,
            });
        }
    }

    /// highest priority first, then first come
    fn take_next(&mut self) -> Arc<Stream> {
        let mut best = 0;
        for (place, stream) in self.waiting.iter().enumerate() {
            if stream.completion.priority > self.waiting[best].completion.priority {
                best = place;
            }
        }
        self.waiting.remove(best)
    }

    fn prefill(&mut self) -> u32 {
        let mut budget = self.options.prefill_chunk;
        let mut computed = Vec::new();
        for running in &mut self.running {
            let tokens = running.prefill_left.min(budget);
            running.prefill_left -= tokens;
            budget -= tokens;
            if running.prefill_left == 0 {
                computed.append(&mut running.blocks);
            }
        }
        if !computed.is_empty() {
            self.store(&computed);
        }
        self.options.prefill_chunk - budget
    }
}
