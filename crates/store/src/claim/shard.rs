//! State of a shard and decisions on its claims, without I/O.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use schema::objects::{Answer, Claim, Reference, Segment, Shard};
use serde_json::{Value, json};

use super::key::Handle;
use super::op::{Op, Reply, reply_to_claim};
use super::segment::SegmentIndex;
use crate::client::Object;

/// retention of a finished claim
pub const FINISHED_RETENTION: Duration = Duration::from_secs(2 * 3600);
/// retention of a claim without a response
pub const UNFINISHED_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// size from which a shard takes no more claims; below the store's limit for an object
const MAX_SHARD_BYTES: usize = 800 << 10;
/// size from which finished claims are moved to a segment
const MOVE_THRESHOLD_BYTES: usize = 192 << 10;
/// encoded size of a claim's key and punctuation
const ENTRY_OVERHEAD_BYTES: usize = 40;

/// changes of a batch
#[derive(Debug, Default)]
pub(super) struct Changes {
    /// claims by key; `None` removes a claim
    pub(super) claims: BTreeMap<String, Option<Claim>>,
    /// the new list of segments
    pub(super) segments: Option<Vec<Reference>>,
}

/// an object that is no longer referenced
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Unused {
    /// a separately stored response
    Answer(String),
    /// a segment whose claims have expired, with their separately stored responses
    Segment(String),
    /// a segment that was never listed; its claims are still in the shard
    Unlisted(String),
}

/// a shard as it was last read or written
#[derive(Debug, Clone, Default)]
pub(super) struct State {
    /// version of the object; 0 if there is none
    pub(super) version: u64,
    /// segments with moved claims
    pub(super) segments: Vec<Reference>,
    claims: HashMap<String, Claim>,
    /// keys of expired claims, which the next update removes
    expired: Vec<String>,
    /// objects that the next update leaves without a reference
    unused: Vec<Unused>,
    bytes: usize,
}

impl From<Object<Shard>> for State {
    fn from(object: Object<Shard>) -> Self {
        let bytes = object.spec.claims.values().map(encoded_bytes).sum();
        State {
            version: object.version,
            segments: object.spec.segments,
            claims: object.spec.claims,
            expired: Vec::new(),
            unused: Vec::new(),
            bytes,
        }
    }
}

impl State {
    /// approximate encoded size of all claims
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// decides one operation and adds its change to `changes`
    pub(super) fn decide(
        &self,
        changes: &mut Changes,
        index: &SegmentIndex,
        handle: &Handle,
        (op, now_ms): (&Op, u64),
    ) -> Reply {
        let changed = changes.claims.get(&handle.key);
        let current = changed.map_or_else(|| self.claims.get(&handle.key), Option::as_ref);
        if current.is_none()
            && changed.is_none()
            && let Some(segment) = index.find(&self.segments, &handle.key)
        {
            return Reply::Moved(segment);
        }
        let own = current.filter(|claim| claim.nonce == handle.nonce);
        let (reply, change) = match op {
            Op::Claim { request, owner } => match (own, current) {
                (Some(_), _) => (Reply::Acquired, None),
                (None, Some(other)) => (reply_to_claim(other, request), None),
                (None, None) if self.bytes > MAX_SHARD_BYTES => (Reply::Full, None),
                (None, None) => {
                    let claim = Claim {
                        request: request.clone(),
                        owner: owner.clone(),
                        nonce: handle.nonce.clone(),
                        at_ms: now_ms,
                        answer: None,
                    };
                    (Reply::Acquired, Some(Some(claim)))
                }
            },
            Op::Finish(answer) => match own {
                None => (Reply::NotFound, None),
                Some(own) if own.answer.is_some() => (Reply::Finished, None),
                Some(own) => (
                    Reply::Finished,
                    Some(Some(self.with_answer(own, answer, now_ms))),
                ),
            },
            // A finished claim is not removed, because its request ran.
            Op::Release => {
                let unfinished = own.filter(|claim| claim.answer.is_none());
                (Reply::Released, unfinished.map(|_| None))
            }
        };
        if let Some(change) = change {
            changes.claims.insert(handle.key.clone(), change);
        }
        reply
    }

    /// removes expired claims and segments; the next update removes them from the store
    pub(super) fn expire(&mut self, now_ms: u64) {
        let expired = self.claims.extract_if(|_, claim| is_expired(claim, now_ms));
        for (key, claim) in expired {
            self.bytes -= encoded_bytes(&claim);
            self.expired.push(key);
            let apart = claim.answer.and_then(|answer| answer.apart);
            self.unused.extend(apart.map(Unused::Answer));
        }
        let expired = |reference: &mut Reference| {
            is_past_retention(reference.newest_ms, FINISHED_RETENTION, now_ms)
        };
        for reference in self.segments.extract_if(.., expired) {
            self.unused.push(Unused::Segment(reference.name));
        }
    }

    /// a segment of the finished claims, if the shard is large and there are enough of them
    pub(super) fn segment_to_move(&self, changes: &Changes) -> Option<Segment> {
        if self.bytes <= MOVE_THRESHOLD_BYTES {
            return None;
        }
        let mut claims = HashMap::new();
        let mut bytes = 0;
        for (key, claim) in &self.claims {
            if claim.answer.is_some() && !changes.claims.contains_key(key) {
                bytes += encoded_bytes(claim);
                claims.insert(key.clone(), claim.clone());
            }
        }
        (bytes > MOVE_THRESHOLD_BYTES / 2).then_some(Segment { claims })
    }

    /// applies changes that were written; returns objects that are no longer referenced
    pub(super) fn apply(&mut self, changes: Changes, version: u64) -> Vec<Unused> {
        self.version = version;
        for (key, claim) in changes.claims {
            let previous = match claim {
                Some(claim) => {
                    self.bytes += encoded_bytes(&claim);
                    self.claims.insert(key, claim)
                }
                None => self.claims.remove(&key),
            };
            self.bytes -= previous.as_ref().map_or(0, encoded_bytes);
        }
        if let Some(segments) = changes.segments {
            self.segments = segments;
        }
        self.expired.clear();
        std::mem::take(&mut self.unused)
    }

    /// the changes as a merge patch of the shard's spec
    pub(super) fn patch(&self, changes: &Changes) -> Value {
        let mut claims: BTreeMap<&str, Option<&Claim>> = BTreeMap::new();
        for key in &self.expired {
            claims.insert(key, None);
        }
        for (key, claim) in &changes.claims {
            claims.insert(key, claim.as_ref());
        }
        let is_segment = |unused: &Unused| matches!(unused, Unused::Segment(_));
        if changes.segments.is_none() && !self.unused.iter().any(is_segment) {
            return json!({ "claims": claims });
        }
        let segments = changes.segments.as_ref().unwrap_or(&self.segments);
        json!({ "claims": claims, "segments": segments })
    }

    /// the complete spec after the changes
    pub(super) fn spec(&self, changes: &Changes) -> Shard {
        let mut claims = self.claims.clone();
        for (key, claim) in &changes.claims {
            match claim {
                Some(claim) => claims.insert(key.clone(), claim.clone()),
                None => claims.remove(key),
            };
        }
        let segments = changes.segments.as_ref().unwrap_or(&self.segments);
        Shard {
            claims,
            segments: segments.clone(),
        }
    }

    /// a claim with its response, without the body if the shard is full
    fn with_answer(&self, own: &Claim, answer: &Answer, now_ms: u64) -> Claim {
        let mut answer = answer.clone();
        if self.bytes > MAX_SHARD_BYTES {
            answer.body = None;
        }
        Claim {
            at_ms: now_ms,
            answer: Some(answer),
            ..own.clone()
        }
    }
}

fn is_expired(claim: &Claim, now_ms: u64) -> bool {
    let retention = if claim.answer.is_some() {
        FINISHED_RETENTION
    } else {
        UNFINISHED_RETENTION
    };
    is_past_retention(claim.at_ms, retention, now_ms)
}

fn is_past_retention(at_ms: u64, retention: Duration, now_ms: u64) -> bool {
    let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
    at_ms.saturating_add(retention_ms) < now_ms
}

fn encoded_bytes(claim: &Claim) -> usize {
    let encoded = serde_json::to_vec(claim).map_or(0, |bytes| bytes.len());
    encoded + ENTRY_OVERHEAD_BYTES
}
