//! Jobs of a writer thread and the replies to their callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Instant;

use crossbeam::channel::{Receiver, Sender, bounded};

use super::key::Handle;
use super::op::{Op, Reply};
use crate::error::Error;

/// states of a job: the caller waits, has its reply, or has timed out
const WAITING: u8 = 0;
const REPLIED: u8 = 1;
const TIMED_OUT: u8 = 2;

/// an operation to be done by a writer thread
pub(super) struct Job {
    pub(super) handle: Handle,
    pub(super) op: Op,
    pub(super) deadline: Instant,
    state: Arc<AtomicU8>,
    sender: Sender<Result<Reply, Error>>,
}

/// the caller's side of a job
pub(super) struct Pending {
    deadline: Instant,
    state: Arc<AtomicU8>,
    receiver: Receiver<Result<Reply, Error>>,
}

impl Job {
    /// a job and its caller's side
    pub(super) fn new(handle: Handle, op: Op, deadline: Instant) -> (Job, Pending) {
        let (sender, receiver) = bounded(1);
        let state = Arc::new(AtomicU8::new(WAITING));
        let pending = Pending {
            deadline,
            state: Arc::clone(&state),
            receiver,
        };
        let job = Job {
            handle,
            op,
            deadline,
            state,
            sender,
        };
        (job, pending)
    }

    /// false for a claim whose caller has timed out
    pub(super) fn is_needed(&self) -> bool {
        !matches!(self.op, Op::Claim { .. }) || self.state.load(Ordering::SeqCst) == WAITING
    }

    /// sends the reply; false if the caller has timed out
    pub(super) fn reply(&self, reply: Result<Reply, Error>) -> bool {
        let swapped =
            self.state
                .compare_exchange(WAITING, REPLIED, Ordering::SeqCst, Ordering::SeqCst);
        swapped.is_ok() && self.sender.send(reply).is_ok()
    }
}

impl Pending {
    /// waits for the reply until the deadline
    pub(super) fn wait(self) -> Result<Reply, Error> {
        if let Ok(reply) = self.receiver.recv_deadline(self.deadline) {
            return reply;
        }
        let swapped =
            self.state
                .compare_exchange(WAITING, TIMED_OUT, Ordering::SeqCst, Ordering::SeqCst);
        if swapped.is_ok() {
            return Err(Error::DeadlineExceeded);
        }
        // The writer replied before the state could change, so the reply is being sent.
        self.receiver.recv().unwrap_or(Err(Error::DeadlineExceeded))
    }
}
