//! Continuous batching: the queue, admission, prefill and the duration of a step.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use schema::engine::{Completion, Load};

use super::event_log::EventLog;
use super::options::Options;
use super::prefix_cache::{BLOCK_WORDS, PrefixCache, block_hashes};
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
    cache: PrefixCache,
    event_log: EventLog,
}

/// a stream that holds a slot
#[derive(Debug)]
struct Running {
    stream: Arc<Stream>,
    blocks: Vec<u64>,
    prefill_remaining: u32,
}

/// why a completion was rejected
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// its prior tokens are not those that this engine generates
    WrongPrior,
    /// a stream with the same request id exists
    DuplicateId,
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
            cache: PrefixCache::new(options.cache_blocks),
            event_log: EventLog::new(lag, options.gap_percent, options.seed),
        }
    }

    /// queues a completion
    pub fn submit(&mut self, completion: Completion) -> Result<Arc<Stream>, Rejection> {
        if self.streams.contains_key(&completion.request_id) {
            return Err(Rejection::DuplicateId);
        }
        let id = completion.request_id.clone();
        let stream = Arc::new(Stream::new(completion).ok_or(Rejection::WrongPrior)?);
        self.streams.insert(id, Arc::clone(&stream));
        self.waiting.push(Arc::clone(&stream));
        Ok(stream)
    }

    /// a stream that is running, waiting or recently ended
    pub fn find(&self, request_id: &str) -> Option<Arc<Stream>> {
        self.streams.get(request_id).cloned()
    }

    /// whether no stream is waiting or running
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// starts a step and returns its duration
    pub fn begin_step(&mut self) -> Duration {
        self.remove_ended();
        self.admit();
        let prefilled = self.prefill();
        let micros = self.step_us() + u64::from(prefilled) * self.options.prefill_us;
        Duration::from_micros(micros)
    }

    /// ends a step: generates one token for each stream whose prefill is complete
    pub fn finish_step(&mut self) {
        for running in &self.running {
            if running.prefill_remaining == 0 {
                running.stream.generate_token();
            }
        }
        self.remove_ended();
    }

    /// removes streams that ended, and those cancelled for lack of a reader, from the batch
    pub fn remove_ended(&mut self) {
        let grace = Duration::from_millis(self.options.grace_ms);
        let has_ended = |stream: &Stream| {
            stream.cancel_if_abandoned(grace);
            stream.is_ended()
        };
        let waiting = self.waiting.extract_if(.., |stream| has_ended(stream));
        self.ended.extend(waiting.map(|stream| stream.to_run()));
        let running = self
            .running
            .extract_if(.., |running| has_ended(&running.stream));
        for stream in running.map(|running| running.stream).collect::<Vec<_>>() {
            self.ended.push(stream.to_run());
            self.store(&block_hashes(stream.text().split_whitespace()));
        }
    }

    /// removes ended streams whose retention has passed
    pub fn remove_expired(&mut self) {
        let retention = Duration::from_millis(self.options.keep_ms);
        self.streams
            .retain(|_, stream| !stream.is_expired(retention));
    }

    /// inserts blocks into the prefix cache
    pub fn store(&mut self, blocks: &[u64]) {
        if let Some(event) = self.cache.store(blocks) {
            self.event_log.push(event);
        }
    }

    /// log of cache events
    pub fn event_log(&self) -> &EventLog {
        &self.event_log
    }

    /// current load, without lag
    pub fn load(&self) -> Load {
        let waiting: u64 = self
            .waiting
            .iter()
            .map(|s| u64::from(s.prefill_tokens()))
            .sum();
        let prefill: u64 = self
            .running
            .iter()
            .map(|r| u64::from(r.prefill_remaining))
            .sum();
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

    /// records of all streams accepted so far
    pub fn record(&self) -> Vec<Run> {
        let mut runs = self.ended.clone();
        runs.extend(self.running.iter().map(|running| running.stream.to_run()));
        runs.extend(self.waiting.iter().map(|stream| stream.to_run()));
        runs
    }

    fn step_us(&self) -> u64 {
        self.options.step_us + self.options.running_us * self.running.len() as u64
    }

    fn admit(&mut self) {
        while self.running.len() < self.options.slots as usize && !self.waiting.is_empty() {
            let stream = self.pop_next_waiting();
            let blocks = block_hashes(stream.text().split_whitespace());
            let cached = (self.cache.find(&blocks) * BLOCK_WORDS) as u32;
            stream.record_cached(cached);
            let prefill_remaining = stream.prefill_tokens().saturating_sub(cached);
            self.running.push(Running {
                stream,
                blocks,
                prefill_remaining,
            });
        }
    }

    /// removes the waiting stream with the highest priority, the oldest of equals
    fn pop_next_waiting(&mut self) -> Arc<Stream> {
        let mut best = 0;
        for (index, stream) in self.waiting.iter().enumerate() {
            if stream.completion.priority > self.waiting[best].completion.priority {
                best = index;
            }
        }
        self.waiting.remove(best)
    }

    fn prefill(&mut self) -> u32 {
        let mut budget = self.options.prefill_chunk;
        let mut computed = Vec::new();
        for running in &mut self.running {
            let tokens = running.prefill_remaining.min(budget);
            running.prefill_remaining -= tokens;
            budget -= tokens;
            if running.prefill_remaining == 0 {
                computed.append(&mut running.blocks);
            }
        }
        if !computed.is_empty() {
            self.store(&computed);
        }
        self.options.prefill_chunk - budget
    }
}
