//! Segments: objects with finished claims that were moved out of a shard.
//!
//! A segment is written once under a random name and never changed, so its keys
//! can be cached without revalidation. The keys are also in an annotation of the object,
//! so a daemon that has not cached them reads a few kilobytes and not the responses.

use std::collections::{HashMap, HashSet};

use schema::objects::{Answer, Claim, Reference, Segment};

use crate::client::{Client, Object};
use crate::error::Error;

const HEX_RADIX: u32 = 16;
/// length of a key digest in hexadecimal
const KEY_DIGITS: usize = 32;
/// annotation with the concatenated key digests of a segment
const KEYS_ANNOTATION: &str = "agateloom.dev/keys";

/// the cached keys of a shard's segments
#[derive(Debug, Default)]
pub(super) struct SegmentIndex {
    segments: HashMap<String, HashSet<u128>>,
}

impl SegmentIndex {
    /// reads the keys of new segments and drops segments that are no longer listed
    pub(super) fn refresh(&mut self, client: &Client, listed: &[Reference]) -> Result<(), Error> {
        self.segments
            .retain(|name, _| listed.iter().any(|reference| reference.name == *name));
        for reference in listed {
            if self.segments.contains_key(&reference.name) {
                continue;
            }
            let read = client.annotations::<Segment>(&reference.name)?;
            let annotations = read.ok_or(Error::Stale)?;
            let keys = annotations
                .get(KEYS_ANNOTATION)
                .and_then(|text| parse_keys(text));
            let keys = keys.ok_or_else(|| {
                Error::Malformed(format!(
                    "segment {} has no valid annotation {KEYS_ANNOTATION}",
                    reference.name
                ))
            });
            self.segments.insert(reference.name.clone(), keys?);
        }
        Ok(())
    }

    /// adds a segment that was just written
    pub(super) fn insert(&mut self, name: &str, segment: &Segment) {
        let keys = segment.claims.keys().filter_map(|key| parse_key(key));
        self.segments.insert(name.to_owned(), keys.collect());
    }

    /// the listed segment that contains a key
    pub(super) fn find(&self, listed: &[Reference], key: &str) -> Option<String> {
        let key = parse_key(key)?;
        for reference in listed {
            let keys = self.segments.get(&reference.name);
            if keys.is_some_and(|keys| keys.contains(&key)) {
                return Some(reference.name.clone());
            }
        }
        None
    }
}

/// writes a segment; returns the reference to be listed in the shard
pub(super) fn write(client: &Client, segment: &Segment) -> Result<Reference, Error> {
    let name = hex::encode(rand::random::<[u8; 16]>());
    let newest = segment.claims.values().map(|claim| claim.at_ms).max();
    let mut object = Object::new(&name, segment.clone());
    let keys = segment.claims.keys().cloned().collect();
    object.annotations.insert(KEYS_ANNOTATION.to_owned(), keys);
    client.create(&object)?;
    Ok(Reference {
        name,
        newest_ms: newest.unwrap_or(0),
    })
}

/// reads one claim of a segment
pub(super) fn read_claim(client: &Client, name: &str, key: &str) -> Result<Claim, Error> {
    let segment = client.get::<Segment>(name)?;
    let mut claims = segment.ok_or(Error::Stale)?.spec.claims;
    claims.remove(key).ok_or(Error::Stale)
}

/// removes a segment and the separately stored responses of its claims
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

/// parses concatenated digests of fixed length; `None` if any of them is invalid
fn parse_keys(text: &str) -> Option<HashSet<u128>> {
    let mut keys = HashSet::new();
    for bytes in text.as_bytes().chunks(KEY_DIGITS) {
        let complete = bytes.len() == KEY_DIGITS;
        let text = str::from_utf8(bytes).ok().filter(|_| complete)?;
        keys.insert(parse_key(text)?);
    }
    Some(keys)
}

fn parse_key(key: &str) -> Option<u128> {
    u128::from_str_radix(key, HEX_RADIX).ok()
}
