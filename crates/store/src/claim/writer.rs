//! The threads that update shards.
//!
//! A thread batches the jobs that arrive within a short time by shard and makes one
//! conditional update for each shard. It caches shards as it last wrote them, so that
//! it does not read a shard that no other daemon changes. The cached state is
//! used for final replies and for changes, which the store checks for conflicts;
//! any other reply is given after a fresh read.

use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use schema::failure::Verdict;

use super::cache::CachedShard;
use super::claims::Options;
use super::op::{Op, Reply};
use super::queue::Job;
use crate::client::Client;
use crate::error::Error;
use crate::retry::Backoff;

/// delays after failures other than a conflict
const FIRST_DELAY: Duration = Duration::from_millis(5);
const MAX_DELAY: Duration = Duration::from_millis(200);
/// delays after a conflict: short, because the retry must read and write before another
/// daemon's next update
const FIRST_CONFLICT_DELAY: Duration = Duration::from_millis(1);
const MAX_CONFLICT_DELAY: Duration = Duration::from_millis(16);
/// interval at which abandoned claims and unreferenced objects are removed
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// time limit for the sweep of one shard
const SWEEP_TIMEOUT: Duration = Duration::from_secs(1);
/// failed attempts after which a batch fails
const MAX_FAILURES: u32 = 5;
/// maximum total size of the cached shards of one writer
const MAX_CACHED_BYTES: usize = 8 << 20;

/// state of a writer thread
pub(super) struct Writer {
    client: Client,
    options: Options,
    jobs: Receiver<Job>,
    shards: HashMap<String, CachedShard>,
    last_sweep: Instant,
}

/// jobs of one shard that are being processed
struct Batch {
    jobs: Vec<Job>,
    deadline: Instant,
    /// an update of this batch may have taken effect
    may_have_run: bool,
    failures: u32,
    /// version that the last update replaces
    base_version: u64,
}

impl Writer {
    pub(super) fn new(client: Client, options: Options, jobs: Receiver<Job>) -> Self {
        Writer {
            client,
            options,
            jobs,
            shards: HashMap::new(),
            last_sweep: Instant::now(),
        }
    }

    /// processes jobs until all senders are dropped
    pub(super) fn run(mut self) {
        loop {
            match self.jobs.recv_timeout(SWEEP_INTERVAL) {
                Ok(first) => self.process_batch(first),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.last_sweep.elapsed() >= SWEEP_INTERVAL {
                self.sweep();
                self.last_sweep = Instant::now();
            }
        }
    }

    /// collects a batch that begins with `first` and processes it by shard
    fn process_batch(&mut self, first: Job) {
        let mut groups: HashMap<String, Vec<Job>> = HashMap::new();
        let until = Instant::now() + self.options.linger;
        let mut count = 1;
        groups
            .entry(first.handle.shard.clone())
            .or_default()
            .push(first);
        while count < self.options.max_batch {
            let Ok(job) = self.jobs.recv_deadline(until) else {
                break;
            };
            groups
                .entry(job.handle.shard.clone())
                .or_default()
                .push(job);
            count += 1;
        }
        for (name, mut jobs) in groups {
            jobs.retain(Job::is_needed);
            if !jobs.is_empty() {
                let client = &self.client;
                let new = || CachedShard::new(&name, client);
                let shard = self.shards.entry(name.clone()).or_insert_with(new);
                process_shard(shard, jobs, &self.client, self.options.clock);
            }
        }
        self.evict();
    }

    /// removes abandoned claims and unreferenced objects
    fn sweep(&mut self) {
        for shard in self.shards.values_mut() {
            if shard.needs_sweep() {
                process_shard(shard, Vec::new(), &self.client, self.options.clock);
                shard.remove_unused();
            }
        }
    }

    /// drops all cached states when their total size exceeds the limit
    fn evict(&mut self) {
        let bytes: usize = self.shards.values().map(CachedShard::bytes).sum();
        if bytes <= MAX_CACHED_BYTES {
            return;
        }
        self.shards.retain(|_, shard| shard.needs_sweep());
        self.shards.values_mut().for_each(CachedShard::invalidate);
    }
}

/// processes the jobs of one shard, with retries, and replies to all of them
fn process_shard(shard: &mut CachedShard, jobs: Vec<Job>, client: &Client, clock: fn() -> u64) {
    let latest = jobs.iter().map(|job| job.deadline).max();
    let mut batch = Batch {
        deadline: latest.unwrap_or_else(|| Instant::now() + SWEEP_TIMEOUT),
        jobs,
        may_have_run: false,
        failures: 0,
        base_version: 0,
    };
    let mut backoff = Backoff::new(FIRST_DELAY, MAX_DELAY);
    let mut conflict_backoff = Backoff::new(FIRST_CONFLICT_DELAY, MAX_CONFLICT_DELAY);
    client.retry_budget().record_call();
    loop {
        let error = match shard.attempt(&batch.jobs, clock(), &mut batch.base_version) {
            Ok(replies) => return batch.reply(shard, replies),
            Err(error) => error,
        };
        if error.verdict() != Verdict::NotRun {
            batch.may_have_run = true;
        }
        let delay = match error {
            Error::Conflict | Error::AlreadyExists => conflict_backoff.delay(),
            _ => backoff.delay(),
        };
        let is_late = Instant::now() + delay >= batch.deadline;
        if is_late || !batch.may_retry(&error, client) {
            return batch.fail(shard, &error);
        }
        thread::sleep(delay);
    }
}

impl Batch {
    /// whether another attempt may succeed; an outage is reported at once, and a conflict does
    /// not count as a failure, because another writer has made progress
    fn may_retry(&mut self, error: &Error, client: &Client) -> bool {
        match error {
            Error::Conflict | Error::AlreadyExists | Error::NotFound => return true,
            Error::Stale | Error::Overloaded => {}
            other if self.may_have_run && other.is_transient() => {}
            _ => return false,
        }
        self.failures += 1;
        self.failures < MAX_FAILURES && client.retry_budget().try_take()
    }

    fn reply(self, shard: &mut CachedShard, replies: Vec<Reply>) {
        for (job, reply) in self.jobs.into_iter().zip(replies) {
            let acquired = reply == Reply::Acquired;
            if !job.reply(Ok(reply)) && acquired {
                shard.abandon(&job.handle, self.base_version);
            }
        }
    }

    fn fail(self, shard: &mut CachedShard, error: &Error) {
        let error = if self.may_have_run {
            Error::OutcomeUnknown(error.to_string())
        } else {
            error.clone()
        };
        if self.may_have_run {
            shard.invalidate();
        }
        for job in self.jobs {
            let may_be_added = self.may_have_run && !matches!(job.op, Op::Finish(_));
            if may_be_added || matches!(job.op, Op::Release) {
                shard.abandon(&job.handle, self.base_version);
            }
            job.reply(Err(error.clone()));
        }
    }
}
