use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use schema::member::{Fact, Item};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use super::Key;
use super::life::{self, LONGEST};

/// the fact held about one subject
#[derive(Debug, Clone)]
pub struct Held {
    /// instance that published it
    pub origin: u64,
    /// logical clock of its publication
    pub counter: u64,
    /// what it says
    pub fact: Fact,
    /// when it was learned
    pub learned: Instant,
    /// when it lapses
    pub lapses: Instant,
}

impl Held {
    /// whether it still holds
    pub fn holds(&self, now: Instant) -> bool {
        now < self.lapses
    }

    /// the fact as it is sent now
    pub fn item(&self, now: Instant) -> Item {
        let left = self.lapses.saturating_duration_since(now);
        Item {
            origin: self.origin,
            counter: self.counter,
            life_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            fact: self.fact.clone(),
        }
    }
}

/// what became of an item
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// it was news and is held now
    News,
    /// it was known
    Known,
    /// a later one is held, or it lapsed
    Stale,
}

/// the latest fact about each subject
#[derive(Default)]
pub struct Ledger {
    clock: u64,
    revision: u64,
    held: BTreeMap<Key, Held>,
}

impl Ledger {
    /// highest logical clock seen
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// moves the logical clock up
    pub fn advance(&mut self, clock: u64) {
        self.clock = self.clock.max(clock);
    }

    /// highest revision known; 0 when none
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// an item for a fact of this daemon, under a new version
    pub fn stamp(&mut self, origin: u64, fact: Fact) -> Item {
        self.clock += 1;
        let life = life::life(&fact);
        Item {
            origin,
            counter: self.clock,
            life_ms: u64::try_from(life.as_millis()).unwrap_or(u64::MAX),
            fact,
        }
    }

    /// takes over an item if it is later than what is held
    pub fn offer(&mut self, item: &Item, now: Instant) -> Offer {
        self.advance(item.counter);
        let key = Key::of(&item.fact, item.origin);
        let life = Duration::from_millis(item.life_ms).min(LONGEST);
        if let Fact::Revision(revision) = &item.fact {
            match revision.number.cmp(&self.revision) {
                Ordering::Less => return Offer::Stale,
                Ordering::Equal => return Offer::Known,
                Ordering::Greater => self.revision = revision.number,
            }
        } else {
            match self.compare(&key, item) {
                Ordering::Less => return Offer::Stale,
                Ordering::Equal => return Offer::Known,
                Ordering::Greater if life.is_zero() => return Offer::Stale,
                Ordering::Greater => {}
            }
        }
        let held = Held {
            origin: item.origin,
            counter: item.counter,
            fact: item.fact.clone(),
            learned: now,
            lapses: now + life,
        };
        self.held.insert(key, held);
        Offer::News
    }

    /// whether an item is later or earlier than what is held about its subject
    fn compare(&self, key: &Key, item: &Item) -> Ordering {
        match self.held.get(key) {
            Some(held) => (item.counter, item.origin).cmp(&(held.counter, held.origin)),
            None => Ordering::Greater,
        }
    }

    /// the fact about a subject, lapsed ones included
    pub fn last(&self, key: &Key) -> Option<&Held> {
        self.held.get(key)
    }

    /// the fact about a subject, if it still holds
    pub fn current(&self, key: &Key, now: Instant) -> Option<&Held> {
        self.held.get(key).filter(|held| held.holds(now))
    }

    /// all facts that still hold
    pub fn all(&self, now: Instant) -> impl Iterator<Item = (&Key, &Held)> {
        self.held.iter().filter(move |(_, held)| held.holds(now))
    }

    /// all facts, lapsed ones included as far as they are remembered
    pub fn remembered(&self) -> impl Iterator<Item = &Held> {
        self.held.values()
    }

    /// forgets facts that lapsed long ago; the last sums of a data centre stay
    pub fn prune(&mut self, now: Instant) {
        self.held.retain(|key, held| {
            matches!(key, Key::Summary(_)) || now < held.lapses + life::memory(&held.fact)
        });
    }

    /// hashes of the facts that hold, by origin
    ///
    /// The revision is left out: it travels as a number.
    pub fn hashes(&self, now: Instant) -> BTreeMap<u64, u32> {
        let mut hashers: BTreeMap<u64, Xxh3> = BTreeMap::new();
        for (key, held) in self.all(now) {
            if *key == Key::Revision {
                continue;
            }
            let hasher = hashers.entry(held.origin).or_default();
            key.hash(hasher);
            hasher.write_u64(held.counter);
        }
        hashers
            .into_iter()
            .map(|(origin, hasher)| (origin, hasher.digest() as u32))
            .collect()
    }

    /// hash of the facts that are not told anew every few seconds
    pub fn lasting_hash(&self, now: Instant) -> u32 {
        let mut hasher = Xxh3::new();
        for (key, held) in self.all(now) {
            if life::is_repeated(&held.fact) || *key == Key::Revision {
                continue;
            }
            key.hash(&mut hasher);
            hasher.write_u64(held.origin);
            hasher.write_u64(held.counter);
        }
        hasher.digest() as u32
    }
}
