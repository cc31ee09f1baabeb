//! Operations on claims and their replies.

use schema::objects::{Answer, Claim};

/// an operation on the claim of a key
#[derive(Debug, Clone)]
pub(super) enum Op {
    /// add a claim if the key has none
    Claim { request: String, owner: String },
    /// add the response to the claim
    Finish(Box<Answer>),
    /// remove the claim; the request did not run
    Release,
}

/// result of an operation
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Reply {
    /// the claim is added
    Acquired,
    /// the key has another claim, with a response
    Completed(Box<Answer>),
    /// the key has another claim, without a response
    InProgress { owner: String },
    /// the key was used for a different request
    Mismatch,
    /// the claim has a response
    Finished,
    /// the claim is removed, or it stays because its request ran
    Released,
    /// there is no claim to finish
    NotFound,
    /// the shard has reached its size limit
    Full,
    /// the claim was moved to this segment, which has to be read to decide
    Moved(String),
}

impl Reply {
    /// whether it may be given only after a fresh read of the shard
    pub(super) fn needs_fresh_read(&self) -> bool {
        matches!(
            self,
            Reply::InProgress { .. } | Reply::Mismatch | Reply::NotFound | Reply::Full
        )
    }
}

/// reply to a claim of a key that already has another claim
pub(super) fn reply_to_claim(other: &Claim, request: &str) -> Reply {
    if other.request != request {
        return Reply::Mismatch;
    }
    match &other.answer {
        Some(answer) => Reply::Completed(Box::new(answer.clone())),
        None => Reply::InProgress {
            owner: other.owner.clone(),
        },
    }
}

/// reply to an operation on a claim that was moved to a segment and can't change any more
pub(super) fn reply_for_moved(op: &Op, claim: &Claim, nonce: &str) -> Reply {
    match op {
        Op::Claim { request, .. } => reply_to_claim(claim, request),
        Op::Finish(_) if claim.nonce == nonce => Reply::Finished,
        Op::Finish(_) => Reply::NotFound,
        Op::Release => Reply::Released,
    }
}
