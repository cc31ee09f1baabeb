//! Requests of callers to a writer, and their replies.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Instant;

use crossbeam::channel::{Receiver, Sender, bounded};

use super::key::Held;
use super::op::{Op, Reply};
use crate::error::Error;

const OPEN: u8 = 0;
const REPLIED: u8 = 1;
const LEFT: u8 = 2;

/// one caller's request
pub(super) struct Job {
    pub(super) held: Held,
    pub(super) op: Op,
    pub(super) deadline: Instant,
    state: Arc<AtomicU8>,
    sender: Sender<Result<Reply, Error>>,
}

/// the caller's end
pub(super) struct Pending {
    deadline: Instant,
    state: Arc<AtomicU8>,
    receiver: Receiver<Result<Reply, Error>>,
}

impl Job {
    /// a request and the end to wait on
    pub(super) fn new(held: Held, op: Op, deadline: Instant) -> (Job, Pending) {
        let (sender, receiver) = bounded(1);
        let state = Arc::new(AtomicU8::new(OPEN));
        let pending = Pending {
            deadline,
            state: Arc::clone(&state),
            receiver,
        };
        let job = Job {
            held,
            op,
            deadline,
            state,
            sender,
        };
        (job, pending)
    }

    /// false for a claim whose caller has left
    pub(super) fn is_wanted(&self) -> bool {
        !matches!(self.op, Op::Claim { .. }) || self.state.load(Ordering::SeqCst) == OPEN
    }

    /// gives the reply; false if the caller has left
    pub(super) fn reply(&self, reply: Result<Reply, Error>) -> bool {
        let swapped =
            self.state
                .compare_exchange(OPEN, REPLIED, Ordering::SeqCst, Ordering::SeqCst);
        swapped.is_ok() && self.sender.send(reply).is_ok()
    }
}

impl Pending {
    /// waits for the reply until the deadline
    pub(super) fn wait(self) -> Result<Reply, Error> {
        if let Ok(reply) = self.receiver.recv_deadline(self.deadline) {
            return reply;
        }
        let swapped = self
            .state
            .compare_exchange(OPEN, LEFT, Ordering::SeqCst, Ordering::SeqCst);
        if swapped.is_ok() {
            return Err(Error::Late);
        }
        // The reply was given at the last moment and is on its way.
        self.receiver.recv().unwrap_or(Err(Error::Late))
    }
}
