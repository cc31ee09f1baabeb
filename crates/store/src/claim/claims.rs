//! Claiming, finishing and releasing keys.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crossbeam::channel::{Sender, TrySendError, bounded};
use xxhash_rust::xxh3::xxh3_64;

use super::answer::{Outcome, fetch, keep};
use super::cold;
use super::key::{Fingerprint, Held};
use super::op::{Op, Reply, found_moved};
use super::queue::Job;
use super::writer::Writer;
use crate::client::Client;
use crate::error::Error;

const QUEUE_LENGTH: usize = 1024;

/// how claims are kept
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// shards of a workspace; the same on all daemons, and not changed while claims are kept
    pub shards: u32,
    /// threads that write; each shard belongs to one
    pub writers: usize,
    /// longest time a request waits for others to share an update
    pub linger: Duration,
    /// most requests gathered at once
    pub batch: usize,
    /// longest time of a call here
    pub patience: Duration,
    /// wall clock, milliseconds since 1970; only used to forget old claims
    pub clock: fn() -> u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            shards: 16,
            writers: 4,
            linger: Duration::from_millis(10),
            batch: 256,
            patience: Duration::from_secs(2),
            clock: wall_ms,
        }
    }
}

/// who runs the request of a key
#[derive(Debug, Clone, PartialEq)]
pub enum Claim {
    /// the caller of `claim`; it finishes or releases the claim
    Mine(Held),
    /// nobody: it ran, and this is its answer
    Done(Outcome),
    /// another one has claimed it and may have run it
    Busy {
        /// instance that claimed it
        owner: String,
    },
    /// the key was used for a different request
    Mismatch,
}

/// the claims of a daemon; cheap to clone, its threads end with the last clone
#[derive(Debug, Clone)]
pub struct Claims {
    client: Client,
    options: Options,
    writers: Arc<Vec<Sender<Job>>>,
}

impl Claims {
    /// starts the writer threads
    pub fn start(client: Client, options: Options) -> Self {
        let mut writers = Vec::new();
        for _ in 0..options.writers.max(1) {
            let (sender, jobs) = bounded(QUEUE_LENGTH);
            let writer = Writer::new(client.clone(), options, jobs);
            thread::spawn(move || writer.run());
            writers.push(sender);
        }
        Claims {
            client,
            options,
            writers: Arc::new(writers),
        }
    }

    /// claims a key for a request before the request runs
    ///
    /// # Errors
    /// [`Error::Unclaimed`] when the store can't decide. The request must not run
    /// then; a claim that was entered all the same is taken out later.
    pub fn claim(
        &self,
        workspace: &str,
        key: &str,
        request: &Fingerprint,
        owner: &str,
    ) -> Result<Claim, Error> {
        let held = Held::new(workspace, key, self.options.shards);
        let op = Op::Claim {
            request: request.as_str().to_owned(),
            owner: owner.to_owned(),
        };
        let reply = self.ask(&held, &op);
        match reply.map_err(|error| Error::Unclaimed(error.to_string()))? {
            Reply::Mine => Ok(Claim::Mine(held)),
            Reply::Done(answer) => fetch(&self.client, *answer).map(Claim::Done),
            Reply::Busy { owner } => Ok(Claim::Busy { owner }),
            Reply::Mismatch => Ok(Claim::Mismatch),
            _ => Err(Error::Unclaimed("The shard is full.".to_owned())),
        }
    }

    /// enters the answer of a request that ran; may be repeated after an error
    ///
    /// # Errors
    /// When the store can't enter it, or [`Error::Missing`] when the claim was forgotten.
    /// Repeats of the request are then told that it may have run.
    pub fn finish(&self, held: &Held, outcome: &Outcome) -> Result<(), Error> {
        let answer = keep(&self.client, &held.nonce, outcome)?;
        match self.ask(held, &Op::Finish(Box::new(answer)))? {
            Reply::Finished => Ok(()),
            _ => Err(Error::Missing),
        }
    }

    /// takes a claim out, by the one who knows that its request did not run and will not
    ///
    /// # Errors
    /// When the store can't be told now; it is told later if this daemon lives on.
    pub fn release(&self, held: &Held) -> Result<(), Error> {
        self.ask(held, &Op::Release).map(drop)
    }

    fn ask(&self, held: &Held, op: &Op) -> Result<Reply, Error> {
        let deadline = Instant::now() + self.options.patience;
        let (job, pending) = Job::new(held.clone(), op.clone(), deadline);
        let index = xxh3_64(held.shard.as_bytes()) % self.writers.len() as u64;
        match self.writers[usize::try_from(index).unwrap_or(0)].try_send(job) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return Err(Error::Limited),
            Err(TrySendError::Disconnected(_)) => return Err(Error::Late),
        }
        match pending.wait()? {
            Reply::Moved(segment) => {
                let claim = cold::fetch(&self.client, &segment, &held.key)?;
                Ok(found_moved(op, &claim, &held.nonce))
            }
            reply => Ok(reply),
        }
    }
}

fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
