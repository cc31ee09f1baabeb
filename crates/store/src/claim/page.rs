//! The rules of a shard, without I/O.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use schema::objects::{Answer, Claim, Shard};
use serde_json::{Value, json};

use crate::client::Object;

/// how long a finished claim is remembered
pub const KEPT: Duration = Duration::from_secs(2 * 3600);
/// how long a claim without an answer is remembered
pub const KEPT_UNFINISHED: Duration = Duration::from_secs(24 * 3600);

/// most bytes of a shard, below what the store takes
const MAX_BYTES: usize = 900 << 10;
/// bytes of an entry beside its content
const ENTRY_BYTES: usize = 40;

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
}

/// entries that a batch changes; `None` takes one out
#[derive(Debug, Default)]
pub(super) struct Changes(pub(super) BTreeMap<String, Option<Claim>>);

/// a shard as last read or written
#[derive(Debug, Clone, Default)]
pub(super) struct Page {
    /// version of the object; 0 if there is none
    pub(super) version: u64,
    claims: HashMap<String, Claim>,
    /// old entries, with the object that has their answer if there is one
    expired: BTreeMap<String, Option<String>>,
    bytes: usize,
}

impl From<Object<Shard>> for Page {
    fn from(object: Object<Shard>) -> Self {
        let bytes = object.spec.claims.values().map(size).sum();
        Page {
            version: object.version,
            claims: object.spec.claims,
            expired: BTreeMap::new(),
            bytes,
        }
    }
}

impl Page {
    /// bytes of all entries, about
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// decides one operation and notes its change
    pub(super) fn decide(
        &self,
        changes: &mut Changes,
        key: &str,
        nonce: &str,
        ask: (&Op, u64),
    ) -> Reply {
        let (op, now_ms) = ask;
        let current = changes
            .0
            .get(key)
            .map_or_else(|| self.claims.get(key), Option::as_ref);
        let own = current.filter(|claim| claim.nonce == nonce);
        match op {
            Op::Claim { request, owner } => {
                if own.is_some() {
                    return Reply::Mine;
                }
                if let Some(other) = current {
                    return found(other, request);
                }
                if self.bytes > MAX_BYTES {
                    return Reply::Full;
                }
                let claim = Claim {
                    request: request.clone(),
                    owner: owner.clone(),
                    nonce: nonce.to_owned(),
                    at_ms: now_ms,
                    answer: None,
                };
                changes.0.insert(key.to_owned(), Some(claim));
                Reply::Mine
            }
            Op::Finish(answer) => {
                let Some(own) = own else {
                    return Reply::Forgotten;
                };
                if own.answer.is_none() {
                    let finished = self.finished(own, answer, now_ms);
                    changes.0.insert(key.to_owned(), Some(finished));
                }
                Reply::Finished
            }
            Op::Release => {
                if own.is_some() {
                    changes.0.insert(key.to_owned(), None);
                }
                Reply::Released
            }
        }
    }

    /// sets old entries aside; the next update takes them out
    pub(super) fn expire(&mut self, now_ms: u64) {
        let old = self.claims.extract_if(|_, claim| is_old(claim, now_ms));
        for (key, claim) in old {
            self.bytes -= size(&claim);
            self.expired
                .insert(key, claim.answer.and_then(|answer| answer.apart));
        }
    }

    /// the state after the changes; returns names of answers that nobody needs any more
    pub(super) fn commit(&mut self, changes: Changes, version: u64) -> Vec<String> {
        self.version = version;
        for (key, claim) in changes.0 {
            let old = match claim {
                Some(claim) => {
                    self.bytes += size(&claim);
                    self.claims.insert(key, claim)
                }
                None => self.claims.remove(&key),
            };
            self.bytes -= old.as_ref().map_or(0, size);
        }
        let expired = std::mem::take(&mut self.expired);
        expired.into_values().flatten().collect()
    }

    /// the changes as a merge patch of the spec
    pub(super) fn patch(&self, changes: &Changes) -> Value {
        let mut claims: BTreeMap<&str, Option<&Claim>> = BTreeMap::new();
        for key in self.expired.keys() {
            claims.insert(key, None);
        }
        for (key, claim) in &changes.0 {
            claims.insert(key, claim.as_ref());
        }
        json!({ "claims": claims })
    }

    /// the whole content after the changes
    pub(super) fn shard(&self, changes: &Changes) -> Shard {
        let mut claims = self.claims.clone();
        for (key, claim) in &changes.0 {
            match claim {
                Some(claim) => claims.insert(key.clone(), claim.clone()),
                None => claims.remove(key),
            };
        }
        Shard { claims }
    }

    /// a claim with its answer, without the body if the shard is full
    fn finished(&self, own: &Claim, answer: &Answer, now_ms: u64) -> Claim {
        let mut answer = answer.clone();
        if self.bytes > MAX_BYTES {
            answer.body = None;
        }
        Claim {
            at_ms: now_ms,
            answer: Some(answer),
            ..own.clone()
        }
    }
}

fn found(other: &Claim, request: &str) -> Reply {
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

fn is_old(claim: &Claim, now_ms: u64) -> bool {
    let kept = if claim.answer.is_some() {
        KEPT
    } else {
        KEPT_UNFINISHED
    };
    let kept_ms = u64::try_from(kept.as_millis()).unwrap_or(u64::MAX);
    claim.at_ms.saturating_add(kept_ms) < now_ms
}

fn size(claim: &Claim) -> usize {
    let encoded = serde_json::to_vec(claim).map_or(0, |bytes| bytes.len());
    encoded + ENTRY_BYTES
}
