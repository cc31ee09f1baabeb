use std::collections::BTreeMap;
use std::ops::Bound;

use schema::member::{Member, Record, State};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use super::timing::GONE_KEPT;

/// what is held about one member
#[derive(Debug, Clone)]
pub struct Entry {
    /// the claim believed
    pub record: Record,
    /// when it last changed here
    pub since: Instant,
}

/// what became of a claim
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// it was news and is believed now
    News,
    /// it was known
    Known,
    /// a later claim is held
    Stale,
    /// it says of this daemon itself that it is suspected or gone
    Refute,
}

/// claims about the members of all data centres
pub struct Table {
    me: u64,
    data_centre: String,
    entries: BTreeMap<u64, Entry>,
}

impl Table {
    /// a table that knows only this daemon
    pub fn new(me: Member, now: Instant) -> Table {
        let instance = me.instance;
        let data_centre = me.data_centre.clone();
        let record = Record {
            member: me,
            incarnation: 1,
            suspected: false,
        };
        let entry = Entry { record, since: now };
        Table {
            me: instance,
            data_centre,
            entries: BTreeMap::from([(instance, entry)]),
        }
    }

    /// the claim of this daemon about itself
    pub fn own(&self) -> &Record {
        &self.entries[&self.me].record
    }

    /// what is held about an instance
    pub fn get(&self, instance: u64) -> Option<&Entry> {
        self.entries.get(&instance)
    }

    /// everything held, by instance
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// whether a record is of this daemon's data centre
    pub fn is_local(&self, record: &Record) -> bool {
        record.member.data_centre == self.data_centre
    }

    /// takes over a claim if it is later than the one held
    pub fn merge(&mut self, claim: &Record, now: Instant) -> Merge {
        let instance = claim.member.instance;
        if instance == self.me {
            return self.merge_own(claim);
        }
        if let Some(held) = self.entries.get(&instance) {
            let (new, old) = (rank(claim), rank(&held.record));
            if new < old {
                return Merge::Stale;
            }
            if new == old {
                return Merge::Known;
            }
        }
        let record = claim.clone();
        self.entries.insert(instance, Entry { record, since: now });
        Merge::News
    }

    fn merge_own(&self, claim: &Record) -> Merge {
        let own = self.own();
        let harmful = claim.suspected || claim.member.state == State::Gone;
        if harmful && own.member.state != State::Gone && claim.incarnation >= own.incarnation {
            return Merge::Refute;
        }
        if rank(claim) < rank(own) {
            return Merge::Stale;
        }
        Merge::Known
    }

    /// raises the own incarnation above `seen`
    pub fn refute(&mut self, seen: u64, now: Instant) {
        let state = self.own().member.state;
        self.declare(state, seen, now);
    }

    /// sets the own state under a new incarnation, above `seen`
    pub fn declare(&mut self, state: State, seen: u64, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&self.me) {
            entry.record.member.state = state;
            entry.record.incarnation = entry.record.incarnation.max(seen) + 1;
            entry.since = now;
        }
    }

    /// marks a member as suspected; false if it is not there to be suspected
    pub fn suspect(&mut self, instance: u64, now: Instant) -> bool {
        self.change(instance, now, |record| record.suspected = true)
    }

    /// marks a member as gone; false if it is not there any more
    pub fn bury(&mut self, instance: u64, now: Instant) -> bool {
        self.change(instance, now, |record| record.member.state = State::Gone)
    }

    fn change(&mut self, instance: u64, now: Instant, edit: impl FnOnce(&mut Record)) -> bool {
        if instance == self.me {
            return false;
        }
        let Some(entry) = self.entries.get_mut(&instance) else {
            return false;
        };
        if entry.record.member.state == State::Gone {
            return false;
        }
        edit(&mut entry.record);
        entry.since = now;
        true
    }

    /// drops members that have been gone for long
    pub fn prune(&mut self, now: Instant) {
        self.entries.retain(|_, entry| {
            let gone = entry.record.member.state == State::Gone;
            !gone || now.saturating_duration_since(entry.since) < GONE_KEPT
        });
    }

    /// the other members of this data centre that are not gone
    pub fn others(&self) -> impl Iterator<Item = &Record> {
        self.entries().map(|entry| &entry.record).filter(|record| {
            record.member.instance != self.me
                && record.member.state != State::Gone
                && self.is_local(record)
        })
    }

    /// number of members of this data centre that are not gone, this one included
    pub fn size(&self) -> usize {
        self.others().count() + 1
    }

    /// the next member in the ring of instances, passing over suspected ones
    pub fn successor(&self) -> Option<u64> {
        let after = (Bound::Excluded(self.me), Bound::Unbounded);
        let before = (Bound::Unbounded, Bound::Excluded(self.me));
        self.entries
            .range(after)
            .chain(self.entries.range(before))
            .map(|(_, entry)| &entry.record)
            .find(|r| r.member.state != State::Gone && !r.suspected && self.is_local(r))
            .map(|record| record.member.instance)
    }

    /// members of a data centre that are not gone, as others shall see them
    pub fn members<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = Member> + 'a {
        self.records(data_centre).map(shown)
    }

    /// claims about the members of a data centre that are not gone
    pub fn records<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = &'a Record> {
        self.entries()
            .map(|entry| &entry.record)
            .filter(move |r| r.member.data_centre == data_centre && r.member.state != State::Gone)
    }

    /// hash of the claims about the members of a data centre
    pub fn hash(&self, data_centre: &str) -> u32 {
        let mut hasher = Xxh3::new();
        for record in self.records(data_centre) {
            hasher.update(&record.member.instance.to_le_bytes());
            hasher.update(&digest(record));
        }
        hasher.digest() as u32
    }
}

/// what a claim's hash is made of
pub(crate) fn digest(record: &Record) -> [u8; 10] {
    let mut bytes = [0; 10];
    bytes[..8].copy_from_slice(&record.incarnation.to_le_bytes());
    bytes[8] = record.member.state as u8;
    bytes[9] = u8::from(record.suspected);
    bytes
}

fn shown(record: &Record) -> Member {
    let mut member = record.member.clone();
    if record.suspected && member.state == State::Live {
        member.state = State::Suspect;
    }
    member
}

fn rank(record: &Record) -> (u64, u8) {
    let gravity = match (record.member.state, record.suspected) {
        (State::Gone, _) => 2,
        (_, true) => 1,
        (_, false) => 0,
    };
    (record.incarnation, gravity)
}
