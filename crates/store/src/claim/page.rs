//! The rules of a shard, without I/O.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use schema::objects::{Answer, Claim, Reference, Segment, Shard};
use serde_json::{Value, json};

use super::cold::Cold;
use super::key::Held;
use super::op::{Op, Reply, found};
use crate::client::Object;

/// how long a finished claim is remembered
pub const KEPT: Duration = Duration::from_secs(2 * 3600);
/// how long a claim without an answer is remembered
pub const KEPT_UNFINISHED: Duration = Duration::from_secs(24 * 3600);

/// most bytes of a shard, below what the store takes
const MAX_BYTES: usize = 800 << 10;
/// bytes from which finished claims are moved to a segment
const MOVE_BYTES: usize = 192 << 10;
/// bytes of an entry beside its content
const ENTRY_BYTES: usize = 40;

/// what a batch changes
#[derive(Debug, Default)]
pub(super) struct Changes {
    /// entries; `None` takes one out
    pub(super) claims: BTreeMap<String, Option<Claim>>,
    /// the new list of segments
    pub(super) segments: Option<Vec<Reference>>,
}

/// what an update left without use
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Unused {
    /// a kept answer
    Answer(String),
    /// a segment whose claims are old, with the answers that they keep apart
    Segment(String),
    /// a segment that no shard lists; its claims are still in the shard
    Unlisted(String),
}

/// a shard as last read or written
#[derive(Debug, Clone, Default)]
pub(super) struct Page {
    /// version of the object; 0 if there is none
    pub(super) version: u64,
    /// where earlier finished claims are
    pub(super) segments: Vec<Reference>,
    claims: HashMap<String, Claim>,
    /// old entries, which the next update takes out
    expired: Vec<String>,
    unused: Vec<Unused>,
    bytes: usize,
}

impl From<Object<Shard>> for Page {
    fn from(object: Object<Shard>) -> Self {
        let bytes = object.spec.claims.values().map(size).sum();
        Page {
            version: object.version,
            segments: object.spec.segments,
            claims: object.spec.claims,
            expired: Vec::new(),
            unused: Vec::new(),
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
        cold: &Cold,
        held: &Held,
        (op, now_ms): (&Op, u64),
    ) -> Reply {
        let changed = changes.claims.get(&held.key);
        let current = changed.map_or_else(|| self.claims.get(&held.key), Option::as_ref);
        if current.is_none()
            && changed.is_none()
            && let Some(segment) = cold.find(&self.segments, &held.key)
        {
            return Reply::Moved(segment);
        }
        let own = current.filter(|claim| claim.nonce == held.nonce);
        let (reply, change) = match op {
            Op::Claim { request, owner } => match (own, current) {
                (Some(_), _) => (Reply::Mine, None),
                (None, Some(other)) => (found(other, request), None),
                (None, None) if self.bytes > MAX_BYTES => (Reply::Full, None),
                (None, None) => {
                    let claim = Claim {
                        request: request.clone(),
                        owner: owner.clone(),
                        nonce: held.nonce.clone(),
                        at_ms: now_ms,
                        answer: None,
                    };
                    (Reply::Mine, Some(Some(claim)))
                }
            },
            Op::Finish(answer) => match own {
                None => (Reply::Forgotten, None),
                Some(own) if own.answer.is_some() => (Reply::Finished, None),
                Some(own) => (
                    Reply::Finished,
                    Some(Some(self.finished(own, answer, now_ms))),
                ),
            },
            // A finished claim stays: its request ran.
            Op::Release => {
                let unfinished = own.filter(|claim| claim.answer.is_none());
                (Reply::Released, unfinished.map(|_| None))
            }
        };
        if let Some(change) = change {
            changes.claims.insert(held.key.clone(), change);
        }
        reply
    }

    /// sets old entries and segments aside; the next update takes them out
    pub(super) fn expire(&mut self, now_ms: u64) {
        let old = self.claims.extract_if(|_, claim| is_old(claim, now_ms));
        for (key, claim) in old {
            self.bytes -= size(&claim);
            self.expired.push(key);
            let apart = claim.answer.and_then(|answer| answer.apart);
            self.unused.extend(apart.map(Unused::Answer));
        }
        let kept = |reference: &mut Reference| is_past(reference.newest_ms, KEPT, now_ms);
        for reference in self.segments.extract_if(.., kept) {
            self.unused.push(Unused::Segment(reference.name));
        }
    }

    /// finished claims to be moved to a segment, if there are enough
    pub(super) fn movable(&self, changes: &Changes) -> Option<Segment> {
        if self.bytes <= MOVE_BYTES {
            return None;
        }
        let mut claims = HashMap::new();
        let mut bytes = 0;
        for (key, claim) in &self.claims {
            if claim.answer.is_some() && !changes.claims.contains_key(key) {
                bytes += size(claim);
                claims.insert(key.clone(), claim.clone());
            }
        }
        (bytes > MOVE_BYTES / 2).then_some(Segment { claims })
    }

    /// the state after the changes; returns what nobody needs any more
    pub(super) fn commit(&mut self, changes: Changes, version: u64) -> Vec<Unused> {
        self.version = version;
        for (key, claim) in changes.claims {
            let old = match claim {
                Some(claim) => {
                    self.bytes += size(&claim);
                    self.claims.insert(key, claim)
                }
                None => self.claims.remove(&key),
            };
            self.bytes -= old.as_ref().map_or(0, size);
        }
        if let Some(segments) = changes.segments {
            self.segments = segments;
        }
        self.expired.clear();
        std::mem::take(&mut self.unused)
    }

    /// the changes as a merge patch of the spec
    pub(super) fn patch(&self, changes: &Changes) -> Value {
        let mut claims: BTreeMap<&str, Option<&Claim>> = BTreeMap::new();
        for key in &self.expired {
            claims.insert(key, None);
        }
        for (key, claim) in &changes.claims {
            claims.insert(key, claim.as_ref());
        }
        let dropped = |unused: &Unused| matches!(unused, Unused::Segment(_));
        if changes.segments.is_none() && !self.unused.iter().any(dropped) {
            return json!({ "claims": claims });
        }
        let segments = changes.segments.as_ref().unwrap_or(&self.segments);
        json!({ "claims": claims, "segments": segments })
    }

    /// the whole content after the changes
    pub(super) fn shard(&self, changes: &Changes) -> Shard {
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

fn is_old(claim: &Claim, now_ms: u64) -> bool {
    let kept = if claim.answer.is_some() {
        KEPT
    } else {
        KEPT_UNFINISHED
    };
    is_past(claim.at_ms, kept, now_ms)
}

fn is_past(at_ms: u64, kept: Duration, now_ms: u64) -> bool {
    let kept_ms = u64::try_from(kept.as_millis()).unwrap_or(u64::MAX);
    at_ms.saturating_add(kept_ms) < now_ms
}

fn size(claim: &Claim) -> usize {
    let encoded = serde_json::to_vec(claim).map_or(0, |bytes| bytes.len());
    encoded + ENTRY_BYTES
}
