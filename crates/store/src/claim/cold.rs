//! Segments: finished claims moved out of a shard.
//!
//! A segment is written once under a random name and never changed, so what
//! was read of it stays true. Of each one the digests of its keys are kept; they
//! stand in an annotation as well, so that a daemon new to a shard reads a
//! few kilobytes of each segment and not its answers.

use std::collections::{HashMap, HashSet};

use schema::objects::{Answer, Claim, Reference, Segment};

use crate::client::{Client, Object};
use crate::error::Error;

const HEX: u32 = 16;
const KEY_DIGITS: usize = 32;
const KEYS: &str = "agateloom.dev/keys";

/// the keys of a shard's segments
#[derive(Debug, Default)]
pub(super) struct Cold {
    segments: HashMap<String, HashSet<u128>>,
}

impl Cold {
    /// reads what is not known yet and drops what is no longer listed
    pub(super) fn load(&mut self, client: &Client, listed: &[Reference]) -> Result<(), Error> {
        self.segments
            .retain(|name, _| listed.iter().any(|reference| reference.name == *name));
        for reference in listed {
            if self.segments.contains_key(&reference.name) {
                continue;
            }
            let read = client.annotations::<Segment>(&reference.name)?;
            let annotations = read.ok_or(Error::Stale)?;
            let keys = annotations.get(KEYS).and_then(|text| parse(text));
            let keys = keys.ok_or_else(|| Error::Malformed("a segment lacks its keys".to_owned()));
            self.segments.insert(reference.name.clone(), keys?);
        }
        Ok(())
    }

    /// notes the keys of a segment
    pub(super) fn note(&mut self, name: &str, segment: &Segment) {
        let keys = segment.claims.keys().filter_map(|key| digest(key));
        self.segments.insert(name.to_owned(), keys.collect());
    }

    /// the listed segment that has a key
    pub(super) fn find(&self, listed: &[Reference], key: &str) -> Option<String> {
        let key = digest(key)?;
        for reference in listed {
            let keys = self.segments.get(&reference.name);
            if keys.is_some_and(|keys| keys.contains(&key)) {
                return Some(reference.name.clone());
            }
        }
        None
    }
}

/// writes a segment; returns its reference
pub(super) fn write(client: &Client, segment: &Segment) -> Result<Reference, Error> {
    let name = hex::encode(rand::random::<[u8; 16]>());
    let newest = segment.claims.values().map(|claim| claim.at_ms).max();
    let mut object = Object::new(&name, segment.clone());
    let keys = segment.claims.keys().cloned().collect();
    object.annotations.insert(KEYS.to_owned(), keys);
    client.create(&object)?;
    Ok(Reference {
        name,
        newest_ms: newest.unwrap_or(0),
    })
}

/// reads one claim of a segment
pub(super) fn fetch(client: &Client, name: &str, key: &str) -> Result<Claim, Error> {
    let segment = client.get::<Segment>(name)?;
    let mut claims = segment.ok_or(Error::Stale)?.spec.claims;
    claims.remove(key).ok_or(Error::Stale)
}

/// removes a segment and the answers that its claims keep apart
pub(super) fn remove(client: &Client, name: &str) -> Result<(), Error> {
    let Some(segment) = client.get::<Segment>(name)? else {
        return Ok(());
    };
    for claim in segment.spec.claims.into_values() {
        if let Some(apart) = claim.answer.and_then(|answer| answer.apart) {
            client.delete::<Answer>(&apart, None)?;
        }
    }
    client.delete::<Segment>(name, None)
}

/// reads digests that follow each other without gaps; all of them or none
fn parse(text: &str) -> Option<HashSet<u128>> {
    let mut keys = HashSet::new();
    for bytes in text.as_bytes().chunks(KEY_DIGITS) {
        let whole = bytes.len() == KEY_DIGITS;
        let text = str::from_utf8(bytes).ok().filter(|_| whole)?;
        keys.insert(digest(text)?);
    }
    Some(keys)
}

fn digest(key: &str) -> Option<u128> {
    u128::from_str_radix(key, HEX).ok()
}
