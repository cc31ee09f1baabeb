//! Acquires, finishes and releases claims.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crossbeam::channel::{Sender, TrySendError, bounded};
use xxhash_rust::xxh3::xxh3_64;

use super::key::{Fingerprint, Handle};
use super::op::{Op, Reply, reply_for_moved};
use super::queue::Job;
use super::response::{Response, load, save};
use super::segment;
use super::writer::Writer;
use crate::client::Client;
use crate::error::Error;

/// maximum queued jobs per writer
const QUEUE_LENGTH: usize = 1024;

/// settings of claims
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// shards per workspace; must be equal on all daemons and constant while there are claims
    pub shards: u32,
    /// writer threads; each shard is assigned to one
    pub writers: usize,
    /// maximum time that a job waits for others to be batched with
    pub linger: Duration,
    /// maximum jobs batched at once
    pub max_batch: usize,
    /// time limit of an operation on a claim
    pub timeout: Duration,
    /// wall clock, milliseconds since 1970; used only for the expiry of claims
    pub clock: fn() -> u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            shards: 16,
            writers: 4,
            linger: Duration::from_millis(10),
            max_batch: 256,
            timeout: Duration::from_secs(2),
            clock: unix_ms,
        }
    }
}

/// result of claiming a key
#[derive(Debug, Clone, PartialEq)]
pub enum Claim {
    /// the caller has the claim; it runs the request, then finishes or releases the claim
    Acquired(Handle),
    /// the request ran before, with this response
    Completed(Response),
    /// another claim exists; its request is running or may have run
    InProgress {
        /// instance that has the claim
        owner: String,
    },
    /// the key was used for a different request
    Mismatch,
}

/// claims of a daemon; the writer threads stop when the last clone is dropped
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

    /// claims a key for a request, before the request runs
    ///
    /// # Errors
    /// [`Error::ClaimFailed`] when the claim can't be decided. The request must not run then; if
    /// the claim was added nevertheless, it is removed later.
    pub fn claim(
        &self,
        workspace: &str,
        key: &str,
        request: &Fingerprint,
        owner: &str,
    ) -> Result<Claim, Error> {
        let handle = Handle::new(workspace, key, self.options.shards);
        let op = Op::Claim {
            request: request.as_str().to_owned(),
            owner: owner.to_owned(),
        };
        let reply = self.submit(&handle, &op);
        match reply.map_err(|error| Error::ClaimFailed(error.to_string()))? {
            Reply::Acquired => Ok(Claim::Acquired(handle)),
            Reply::Completed(answer) => load(&self.client, *answer).map(Claim::Completed),
            Reply::InProgress { owner } => Ok(Claim::InProgress { owner }),
            Reply::Mismatch => Ok(Claim::Mismatch),
            _ => Err(Error::ClaimFailed(format!(
                "Shard {} is full.",
                handle.shard
            ))),
        }
    }

    /// records the response of a request that ran; may be retried after an error
    ///
    /// # Errors
    /// When the response can't be stored, or [`Error::NotFound`] when the claim no longer exists.
    /// As long as the claim exists, repeats of the request then get [`Claim::InProgress`].
    pub fn finish(&self, handle: &Handle, response: &Response) -> Result<(), Error> {
        let answer = save(&self.client, &handle.nonce, response)?;
        match self.submit(handle, &Op::Finish(Box::new(answer)))? {
            Reply::Finished => Ok(()),
            _ => Err(Error::NotFound),
        }
    }

    /// removes a claim whose request certainly did not run and will not run
    ///
    /// # Errors
    /// When the claim can't be removed now; it is removed later if this daemon keeps running.
    pub fn release(&self, handle: &Handle) -> Result<(), Error> {
        self.submit(handle, &Op::Release).map(drop)
    }

    fn submit(&self, handle: &Handle, op: &Op) -> Result<Reply, Error> {
        let deadline = Instant::now() + self.options.timeout;
        let (job, pending) = Job::new(handle.clone(), op.clone(), deadline);
        let index = xxh3_64(handle.shard.as_bytes()) % self.writers.len() as u64;
        match self.writers[usize::try_from(index).unwrap_or(0)].try_send(job) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return Err(Error::Overloaded),
            Err(TrySendError::Disconnected(_)) => return Err(Error::DeadlineExceeded),
        }
        match pending.wait()? {
            Reply::Moved(name) => {
                let claim = segment::read_claim(&self.client, &name, &handle.key)?;
                Ok(reply_for_moved(op, &claim, &handle.nonce))
            }
            reply => Ok(reply),
        }
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
