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
use schema::objects::{Answer, Shard};

use super::claims::Options;
use super::page::{Changes, Op, Page, Reply};
use super::queue::Job;
use crate::client::{Client, Object};
use crate::error::Error;
use crate::retry::Backoff;

const FIRST_DELAY: Duration = Duration::from_millis(5);
const MOST_DELAY: Duration = Duration::from_millis(200);
/// how often claims that nobody waits for are taken out
const SWEEP: Duration = Duration::from_secs(1);
/// longest time of a sweep of one shard
const SWEEP_TIME: Duration = Duration::from_secs(1);
/// failures after which a batch is given up
const MOST_FAILURES: u32 = 5;
/// most bytes of remembered shards of one writer
const MAX_REMEMBERED_BYTES: usize = 8 << 20;

/// a claim whose caller has left or was told of a failure, to be taken out
#[derive(Debug, Clone)]
struct Abandoned {
    key: String,
    nonce: String,
    /// the update that may still enter it replaces this version
    base: u64,
}

/// what is known of one shard
#[derive(Debug, Default)]
struct Known {
    page: Option<Page>,
    floor: u64,
    abandoned: Vec<Abandoned>,
}

/// the state of a writer thread
pub(super) struct Writer {
    client: Client,
    options: Options,
    jobs: Receiver<Job>,
    shards: HashMap<String, Known>,
    whole: bool,
    swept: Instant,
}

/// a batch for one shard on its way
struct Batch<'a> {
    shard: &'a str,
    jobs: Vec<Job>,
    deadline: Instant,
    uncertain: bool,
    failures: u32,
    base: u64,
}

/// what one round does
struct Plan {
    changes: Changes,
    replies: Vec<Reply>,
    /// write even if nothing changes
    force: bool,
}

impl Writer {
    pub(super) fn new(client: Client, options: Options, jobs: Receiver<Job>) -> Self {
        Writer {
            client,
            options,
            jobs,
            shards: HashMap::new(),
            whole: false,
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
                self.settle(&shard, jobs);
            }
        }
        self.forget();
    }

    /// decides the jobs of one shard and replies to all of them
    fn settle(&mut self, shard: &str, jobs: Vec<Job>) {
        let latest = jobs.iter().map(|job| job.deadline).max();
        let mut batch = Batch {
            shard,
            deadline: latest.unwrap_or_else(|| Instant::now() + SWEEP_TIME),
            jobs,
            uncertain: false,
            failures: 0,
            base: 0,
        };
        let mut backoff = Backoff::new(FIRST_DELAY, MOST_DELAY);
        self.client.budget().earn();
        loop {
            let error = match self.attempt(&mut batch) {
                Ok(replies) => return self.reply(batch, replies),
                Err(error) => error,
            };
            if error.verdict() != Verdict::NotRun {
                batch.uncertain = true;
            }
            let delay = backoff.delay();
            let late = Instant::now() + delay >= batch.deadline;
            if late || !self.may_repeat(&mut batch, &error) {
                return self.fail(batch, &error);
            }
            thread::sleep(delay);
        }
    }

    /// whether another round may help; a store that is out is reported at once,
    /// a conflict means that somebody else got on and is no failure
    fn may_repeat(&self, batch: &mut Batch<'_>, error: &Error) -> bool {
        match error {
            Error::Conflict | Error::Exists | Error::Missing => return true,
            Error::Stale | Error::Limited => {}
            other if batch.uncertain && other.is_passing() => {}
            _ => return false,
        }
        batch.failures += 1;
        batch.failures < MOST_FAILURES && self.client.budget().spend()
    }

    /// one round: read if needed, decide, write
    fn attempt(&mut self, batch: &mut Batch<'_>) -> Result<Vec<Reply>, Error> {
        let mut page = self.remembered(batch.shard)?;
        let mut plan = self.plan(batch, &mut page);
        if plan.replies.iter().any(needs_fresh) {
            page = self.read(batch.shard)?;
            plan = self.plan(batch, &mut page);
        }
        if plan.changes.0.is_empty() && !plan.force {
            return Ok(plan.replies);
        }
        batch.base = page.version;
        let version = self.write(batch.shard, &page, &plan.changes)?;
        let apart = page.commit(plan.changes, version);
        let known = self.shards.entry(batch.shard.to_owned()).or_default();
        known.floor = known.floor.max(version);
        known.page = Some(page);
        known.abandoned.clear();
        for name in apart {
            // A body that stays behind does no harm.
            drop(self.client.delete::<Answer>(&name, None));
        }
        Ok(plan.replies)
    }

    /// decides all jobs, after abandoned claims are out
    fn plan(&mut self, batch: &Batch<'_>, page: &mut Page) -> Plan {
        let now_ms = (self.options.clock)();
        page.expire(now_ms);
        let mut changes = Changes::default();
        let force = self.take_out(batch.shard, page, &mut changes);
        let mut replies = Vec::with_capacity(batch.jobs.len());
        for job in &batch.jobs {
            let held = &job.held;
            let ask = (&job.op, now_ms);
            replies.push(page.decide(&mut changes, &held.key, &held.nonce, ask));
        }
        Plan {
            changes,
            replies,
            force,
        }
    }

    fn remembered(&mut self, shard: &str) -> Result<Page, Error> {
        let known = self.shards.get(shard);
        match known.and_then(|known| known.page.clone()) {
            Some(page) => Ok(page),
            None => self.read(shard),
        }
    }

    /// reads a shard, not older than it was seen before
    fn read(&mut self, shard: &str) -> Result<Page, Error> {
        let read = self.client.get::<Shard>(shard)?;
        let page = read.map_or_else(Page::default, Page::from);
        let known = self.shards.entry(shard.to_owned()).or_default();
        if page.version < known.floor {
            return Err(Error::Stale);
        }
        known.floor = page.version;
        known.page = Some(page.clone());
        Ok(page)
    }

    /// adds the removal of abandoned claims; true if an update is needed to be
    /// sure that none of them can still be entered
    fn take_out(&mut self, shard: &str, page: &Page, changes: &mut Changes) -> bool {
        let Some(known) = self.shards.get_mut(shard) else {
            return false;
        };
        for claim in &known.abandoned {
            page.decide(changes, &claim.key, &claim.nonce, (&Op::Release, 0));
        }
        known
            .abandoned
            .retain(|claim| claim.base >= page.version || changes.0.contains_key(&claim.key));
        !known.abandoned.is_empty()
    }

    fn write(&mut self, shard: &str, page: &Page, changes: &Changes) -> Result<u64, Error> {
        let written = self.send(shard, page, changes);
        let known = self.shards.entry(shard.to_owned()).or_default();
        match written {
            Err(Error::Conflict | Error::Exists) => {
                known.floor = known.floor.max(page.version + 1);
                known.page = None;
            }
            Err(Error::Missing) => {
                known.floor = 0;
                known.page = None;
            }
            _ => {}
        }
        written
    }

    fn send(&mut self, shard: &str, page: &Page, changes: &Changes) -> Result<u64, Error> {
        if page.version > 0 && !self.whole {
            let patch = page.patch(changes);
            match self.client.merge::<Shard>(shard, page.version, &patch) {
                Err(Error::Refused {
                    code: 405 | 415, ..
                }) => self.whole = true,
                other => return other,
            }
        }
        let mut object = Object::new(shard, page.shard(changes));
        object.version = page.version;
        if page.version == 0 {
            self.client.create(&object)
        } else {
            self.client.update(&object)
        }
    }

    fn reply(&mut self, batch: Batch<'_>, replies: Vec<Reply>) {
        for (job, reply) in batch.jobs.into_iter().zip(replies) {
            let entered = reply == Reply::Mine;
            if !job.reply(Ok(reply)) && entered {
                self.abandon(batch.shard, &job, batch.base);
            }
        }
    }

    fn fail(&mut self, batch: Batch<'_>, error: &Error) {
        let error = if batch.uncertain {
            Error::Unsettled(error.to_string())
        } else {
            error.clone()
        };
        if batch.uncertain
            && let Some(known) = self.shards.get_mut(batch.shard)
        {
            known.page = None;
        }
        for job in batch.jobs {
            let may_stay = !matches!(job.op, Op::Finish(_));
            if batch.uncertain && may_stay || matches!(job.op, Op::Release) {
                self.abandon(batch.shard, &job, batch.base);
            }
            job.reply(Err(error.clone()));
        }
    }

    fn abandon(&mut self, shard: &str, job: &Job, base: u64) {
        let known = self.shards.entry(shard.to_owned()).or_default();
        known.abandoned.push(Abandoned {
            key: job.held.key.clone(),
            nonce: job.held.nonce.clone(),
            base,
        });
    }

    /// takes out abandoned claims of shards that get no requests
    fn sweep(&mut self) {
        let mut shards = Vec::new();
        for (shard, known) in &self.shards {
            if !known.abandoned.is_empty() {
                shards.push(shard.clone());
            }
        }
        for shard in shards {
            self.settle(&shard, Vec::new());
        }
    }

    /// drops remembered shards when they are too large together
    fn forget(&mut self) {
        let pages = self.shards.values().filter_map(|known| known.page.as_ref());
        let bytes: usize = pages.map(Page::bytes).sum();
        if bytes <= MAX_REMEMBERED_BYTES {
            return;
        }
        self.shards.retain(|_, known| !known.abandoned.is_empty());
        self.shards.values_mut().for_each(|known| known.page = None);
    }
}

/// whether a reply is true only of the current state
fn needs_fresh(reply: &Reply) -> bool {
    matches!(
        reply,
        Reply::Busy { .. } | Reply::Mismatch | Reply::Forgotten | Reply::Full
    )
}
