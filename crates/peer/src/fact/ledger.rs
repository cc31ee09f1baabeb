use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use schema::member::{Fact, Item};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use super::Key;
use super::timing::{self, MAX_LIFETIME};

/// the latest fact about one subject
#[derive(Debug, Clone)]
pub struct Entry {
    /// instance that published it
    pub origin: u64,
    /// logical clock of the origin at the publication
    pub counter: u64,
    /// its content
    pub fact: Fact,
    /// when it was received or published here
    pub received_at: Instant,
    /// when it expires
    pub expires_at: Instant,
}

impl Entry {
    /// whether it has not expired
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at
    }

    /// the fact as an item of a message, with its remaining lifetime
    pub fn to_item(&self, now: Instant) -> Item {
        let remaining = self.expires_at.saturating_duration_since(now);
        Item {
            origin: self.origin,
            counter: self.counter,
            life_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            fact: self.fact.clone(),
        }
    }
}

/// result of [`Ledger::merge`]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// the item is newer and was stored
    Updated,
    /// the item's version is the stored one
    Duplicate,
    /// a newer version is stored, or the item has expired
    Stale,
}

/// the latest fact about each subject
#[derive(Default)]
pub struct Ledger {
    clock: u64,
    revision: u64,
    entries: BTreeMap<Key, Entry>,
}

impl Ledger {
    /// highest logical clock received or assigned
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// raises the logical clock to `clock`, if that is higher
    pub fn advance_clock(&mut self, clock: u64) {
        self.clock = self.clock.max(clock);
    }

    /// highest revision stored; 0 if none
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// an item for a fact of this daemon, with a new version
    pub fn create_item(&mut self, origin: u64, fact: Fact) -> Item {
        self.clock += 1;
        let lifetime = timing::lifetime(&fact);
        Item {
            origin,
            counter: self.clock,
            life_ms: u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX),
            fact,
        }
    }

    /// stores an item if it is newer than the stored one
    pub fn merge(&mut self, item: &Item, now: Instant) -> Merge {
        self.advance_clock(item.counter);
        let key = Key::of(&item.fact, item.origin);
        let lifetime = Duration::from_millis(item.life_ms).min(MAX_LIFETIME);
        if let Fact::Revision(revision) = &item.fact {
            match revision.number.cmp(&self.revision) {
                Ordering::Less => return Merge::Stale,
                Ordering::Equal => return Merge::Duplicate,
                Ordering::Greater => self.revision = revision.number,
            }
        } else {
            match self.compare(&key, item) {
                Ordering::Less => return Merge::Stale,
                Ordering::Equal => return Merge::Duplicate,
                Ordering::Greater if lifetime.is_zero() => return Merge::Stale,
                Ordering::Greater => {}
            }
        }
        let stored = Entry {
            origin: item.origin,
            counter: item.counter,
            fact: item.fact.clone(),
            received_at: now,
            expires_at: now + lifetime,
        };
        self.entries.insert(key, stored);
        Merge::Updated
    }

    /// order of an item's version relative to the stored one about its subject
    fn compare(&self, key: &Key, item: &Item) -> Ordering {
        match self.entries.get(key) {
            Some(stored) => (item.counter, item.origin).cmp(&(stored.counter, stored.origin)),
            None => Ordering::Greater,
        }
    }

    /// the latest fact about a subject, also if it has expired
    pub fn latest(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// the fact about a subject, if it has not expired
    pub fn current(&self, key: &Key, now: Instant) -> Option<&Entry> {
        self.entries.get(key).filter(|stored| stored.is_valid(now))
    }

    /// all facts that have not expired
    pub fn current_entries(&self, now: Instant) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries
            .iter()
            .filter(move |(_, stored)| stored.is_valid(now))
    }

    /// all facts, also expired ones that are not pruned yet
    pub fn all_entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// removes facts after their retention; the latest summary of a data centre stays
    pub fn prune(&mut self, now: Instant) {
        self.entries.retain(|key, stored| {
            matches!(key, Key::Summary(_))
                || now < stored.expires_at + timing::retention(&stored.fact)
        });
    }

    /// hash of the unexpired facts of each origin
    ///
    /// The revision is left out, because messages carry it as a number.
    pub fn origin_hashes(&self, now: Instant) -> BTreeMap<u64, u32> {
        let mut hashers: BTreeMap<u64, Xxh3> = BTreeMap::new();
        for (key, stored) in self.current_entries(now) {
            if *key == Key::Revision {
                continue;
            }
            let hasher = hashers.entry(stored.origin).or_default();
            key.hash(hasher);
            hasher.write_u64(stored.counter);
        }
        hashers
            .into_iter()
            .map(|(origin, hasher)| (origin, hasher.digest() as u32))
            .collect()
    }

    /// hash of the unexpired facts that are not published again every few seconds
    pub fn non_periodic_hash(&self, now: Instant) -> u32 {
        let mut hasher = Xxh3::new();
        for (key, stored) in self.current_entries(now) {
            if timing::is_periodic(&stored.fact) || *key == Key::Revision {
                continue;
            }
            key.hash(&mut hasher);
            hasher.write_u64(stored.origin);
            hasher.write_u64(stored.counter);
        }
        hasher.digest() as u32
    }
}
