//! The thread that changes shards.
//!
//! It gathers the requests of a moment, groups them by shard and makes one
//! conditional update for each. It remembers shards as it last wrote them, so that a
//! shard which no other daemon changes costs no reads. What it remembers is
//! trusted for answers that are final and for changes, which the store checks;
//! any other answer is given from a fresh read.

use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use schema::failure::Verdict;

use super::cache::Cache;
use super::claims::Options;
use super::op::{Op, Reply};
use super::queue::Job;
use crate::client::Client;
use crate::error::Error;
use crate::retry::Backoff;

const FIRST_DELAY: Duration = Duration::from_millis(5);
const MOST_DELAY: Duration = Duration::from_millis(200);
/// delays after a conflict: short, since the loser must read and write before the next winner
const FIRST_CONFLICT_DELAY: Duration = Duration::from_millis(1);
const MOST_CONFLICT_DELAY: Duration = Duration::from_millis(16);
/// how often claims that nobody waits for are taken out
const SWEEP: Duration = Duration::from_secs(1);
/// longest time of a sweep of one shard
const SWEEP_TIME: Duration = Duration::from_secs(1);
/// failures after which a batch is given up
const MOST_FAILURES: u32 = 5;
/// most bytes of remembered shards of one writer
const MAX_REMEMBERED_BYTES: usize = 8 << 20;

/// the state of a writer thread
pub(super) struct Writer {
    client: Client,
    options: Options,
    jobs: Receiver<Job>,
    shards: HashMap<String, Cache>,
    swept: Instant,
}

/// jobs for one shard on their way
struct Batch {
    jobs: Vec<Job>,
    deadline: Instant,
    uncertain: bool,
    failures: u32,
    base: u64,
}

impl Writer {
    pub(super) fn new(client: Client, options: Options, jobs: Receiver<Job>) -> Self {
        Writer {
            client,
            options,
            jobs,
            shards: HashMap::new(),
            swept: Instant::now(),
        }
    }

    /// serves requests until all senders are gone
    pub(super) fn run(mut self) {
        loop {
            match self.jobs.recv_timeout(SWEEP) {
                Ok(first) => self.serve(first),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.swept.elapsed() >= SWEEP {
                self.sweep();
                self.swept = Instant::now();
            }
        }
    }

    fn serve(&mut self, first: Job) {
        let mut groups: HashMap<String, Vec<Job>> = HashMap::new();
        let until = Instant::now() + self.options.linger;
        let mut count = 1;
        groups
            .entry(first.held.shard.clone())
            .or_default()
            .push(first);
        while count < self.options.batch {
            let Ok(job) = self.jobs.recv_deadline(until) else {
                break;
            };
            groups.entry(job.held.shard.clone()).or_default().push(job);
            count += 1;
        }
        for (shard, mut jobs) in groups {
            jobs.retain(Job::is_wanted);
            if !jobs.is_empty() {
                let client = &self.client;
                let new = || Cache::new(&shard, client);
                let cache = self.shards.entry(shard.clone()).or_insert_with(new);
                settle(cache, jobs, &self.client, self.options.clock);
            }
        }
        self.forget();
    }

    /// takes out abandoned claims of shards that get no requests
    fn sweep(&mut self) {
        for cache in self.shards.values_mut() {
            if cache.needs_sweep() {
                settle(cache, Vec::new(), &self.client, self.options.clock);
                cache.remove_unused();
            }
        }
    }

    /// drops remembered shards when they are too large together
    fn forget(&mut self) {
        let bytes: usize = self.shards.values().map(Cache::bytes).sum();
        if bytes <= MAX_REMEMBERED_BYTES {
            return;
        }
        self.shards.retain(|_, cache| cache.needs_sweep());
        self.shards.values_mut().for_each(Cache::forget);
    }
}

/// decides the jobs of one shard and replies to all of them
fn settle(cache: &mut Cache, jobs: Vec<Job>, client: &Client, clock: fn() -> u64) {
    let latest = jobs.iter().map(|job| job.deadline).max();
    let mut batch = Batch {
        deadline: latest.unwrap_or_else(|| Instant::now() + SWEEP_TIME),
        jobs,
        uncertain: false,
        failures: 0,
        base: 0,
    };
    let mut backoff = Backoff::new(FIRST_DELAY, MOST_DELAY);
    let mut conflicts = Backoff::new(FIRST_CONFLICT_DELAY, MOST_CONFLICT_DELAY);
    client.budget().earn();
    loop {
        let error = match cache.round(&batch.jobs, clock(), &mut batch.base) {
            Ok(replies) => return batch.reply(cache, replies),
            Err(error) => error,
        };
        if error.verdict() != Verdict::NotRun {
            batch.uncertain = true;
        }
        let delay = match error {
            Error::Conflict | Error::Exists => conflicts.delay(),
            _ => backoff.delay(),
        };
        let late = Instant::now() + delay >= batch.deadline;
        if late || !batch.may_repeat(&error, client) {
            return batch.fail(cache, &error);
        }
        thread::sleep(delay);
    }
}

impl Batch {
    /// whether another round may help; a store that is out is reported at once,
    /// a conflict means that somebody else got on and is no failure
    fn may_repeat(&mut self, error: &Error, client: &Client) -> bool {
        match error {
            Error::Conflict | Error::Exists | Error::Missing => return true,
            Error::Stale | Error::Limited => {}
            other if self.uncertain && other.is_passing() => {}
            _ => return false,
        }
        self.failures += 1;
        self.failures < MOST_FAILURES && client.budget().spend()
    }

    fn reply(self, cache: &mut Cache, replies: Vec<Reply>) {
        for (job, reply) in self.jobs.into_iter().zip(replies) {
            let entered = reply == Reply::Mine;
            if !job.reply(Ok(reply)) && entered {
                cache.abandon(&job.held, self.base);
            }
        }
    }

    fn fail(self, cache: &mut Cache, error: &Error) {
        let error = if self.uncertain {
            Error::Unsettled(error.to_string())
        } else {
            error.clone()
        };
        if self.uncertain {
            cache.forget();
        }
        for job in self.jobs {
            let stays = self.uncertain && !matches!(job.op, Op::Finish(_));
            if stays || matches!(job.op, Op::Release) {
                cache.abandon(&job.held, self.base);
            }
            job.reply(Err(error.clone()));
        }
    }
}
