//! What is asked of an entry, and what is answered.

use schema::objects::{Answer, Claim};

/// what is asked of an entry
#[derive(Debug, Clone)]
pub(super) enum Op {
    /// enter a claim if there is none
    Claim { request: String, owner: String },
    /// enter the answer
    Finish(Box<Answer>),
    /// take the claim out; the request did not run
    Release,
}

/// what was found or done
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Reply {
    /// the claim is entered
    Mine,
    /// another claim has an answer
    Done(Box<Answer>),
    /// another claim has none yet
    Busy { owner: String },
    /// the key belongs to another request
    Mismatch,
    /// the answer is entered
    Finished,
    /// the claim is out
    Released,
    /// there is no such claim to finish
    Forgotten,
    /// the shard takes no more
    Full,
    /// the claim is in this segment, which has to be read to tell
    Moved(String),
}

impl Reply {
    /// whether it is true only of the current state
    pub(super) fn needs_fresh(&self) -> bool {
        matches!(
            self,
            Reply::Busy { .. } | Reply::Mismatch | Reply::Forgotten | Reply::Full
        )
    }
}

/// the reply to a claim of a key that another claim has
pub(super) fn found(other: &Claim, request: &str) -> Reply {
    if other.request != request {
        return Reply::Mismatch;
    }
    match &other.answer {
        Some(answer) => Reply::Done(Box::new(answer.clone())),
        None => Reply::Busy {
            owner: other.owner.clone(),
        },
    }
}

/// the reply to an operation on a finished claim that does not change any more
pub(super) fn found_moved(op: &Op, claim: &Claim, nonce: &str) -> Reply {
    match op {
        Op::Claim { request, .. } => found(claim, request),
        Op::Finish(_) if claim.nonce == nonce => Reply::Finished,
        Op::Finish(_) => Reply::Forgotten,
        Op::Release => Reply::Released,
    }
}
