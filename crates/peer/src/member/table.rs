use std::collections::BTreeMap;
use std::ops::Bound;

use schema::member::{Member, Record, State};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use super::timing::GONE_RETENTION;

/// the current record of one member
#[derive(Debug, Clone)]
pub struct Entry {
    /// latest record received
    pub record: Record,
    /// when it last changed in this table
    pub changed_at: Instant,
}

/// result of [`Table::merge`]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// the record is newer and was stored
    Updated,
    /// the record is as current as the stored one
    Duplicate,
    /// a newer record is stored
    Stale,
    /// the record says that this daemon is suspected or gone
    Refute,
}

/// records of the members of all data centres
pub struct Table {
    local_instance: u64,
    data_centre: String,
    entries: BTreeMap<u64, Entry>,
}

impl Table {
    /// a table that contains only this daemon
    pub fn new(me: Member, now: Instant) -> Table {
        let instance = me.instance;
        let data_centre = me.data_centre.clone();
        let record = Record {
            member: me,
            incarnation: 1,
            suspected: false,
        };
        let entry = Entry {
            record,
            changed_at: now,
        };
        Table {
            local_instance: instance,
            data_centre,
            entries: BTreeMap::from([(instance, entry)]),
        }
    }

    /// the record of this daemon
    pub fn local_record(&self) -> &Record {
        &self.entries[&self.local_instance].record
    }

    /// the entry of an instance
    pub fn get(&self, instance: u64) -> Option<&Entry> {
        self.entries.get(&instance)
    }

    /// all entries, ordered by instance
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// whether a record's member is in this daemon's data centre
    pub fn is_local(&self, record: &Record) -> bool {
        record.member.data_centre == self.data_centre
    }

    /// stores a record if it is newer than the stored one
    pub fn merge(&mut self, received: &Record, now: Instant) -> Merge {
        let instance = received.member.instance;
        if instance == self.local_instance {
            return self.merge_local(received);
        }
        if let Some(stored) = self.entries.get(&instance) {
            let (new, old) = (precedence(received), precedence(&stored.record));
            if new < old {
                return Merge::Stale;
            }
            if new == old {
                return Merge::Duplicate;
            }
        }
        let record = received.clone();
        self.entries.insert(
            instance,
            Entry {
                record,
                changed_at: now,
            },
        );
        Merge::Updated
    }

    fn merge_local(&self, received: &Record) -> Merge {
        let local = self.local_record();
        let contradicts_local = received.suspected || received.member.state == State::Gone;
        if contradicts_local
            && local.member.state != State::Gone
            && received.incarnation >= local.incarnation
        {
            return Merge::Refute;
        }
        if precedence(received) < precedence(local) {
            return Merge::Stale;
        }
        Merge::Duplicate
    }

    /// raises this daemon's incarnation above the suspected one, which refutes a suspicion
    pub fn refute(&mut self, suspected: u64, now: Instant) {
        let state = self.local_record().member.state;
        self.set_local_state(state, suspected, now);
    }

    /// sets this daemon's state, under an incarnation above `floor`
    pub fn set_local_state(&mut self, state: State, floor: u64, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&self.local_instance) {
            entry.record.member.state = state;
            entry.record.incarnation = entry.record.incarnation.max(floor) + 1;
            entry.changed_at = now;
        }
    }

    /// marks a member as suspected; false if it is unknown, gone or this daemon
    pub fn mark_suspected(&mut self, instance: u64, now: Instant) -> bool {
        self.update(instance, now, |record| record.suspected = true)
    }

    /// marks a member as gone; false if it is unknown, already gone or this daemon
    pub fn mark_gone(&mut self, instance: u64, now: Instant) -> bool {
        self.update(instance, now, |record| record.member.state = State::Gone)
    }

    fn update(&mut self, instance: u64, now: Instant, edit: impl FnOnce(&mut Record)) -> bool {
        if instance == self.local_instance {
            return false;
        }
        let Some(entry) = self.entries.get_mut(&instance) else {
            return false;
        };
        if entry.record.member.state == State::Gone {
            return false;
        }
        edit(&mut entry.record);
        entry.changed_at = now;
        true
    }

    /// removes members that have been gone for [`GONE_RETENTION`]
    pub fn prune(&mut self, now: Instant) {
        self.entries.retain(|_, entry| {
            let gone = entry.record.member.state == State::Gone;
            !gone || now.saturating_duration_since(entry.changed_at) < GONE_RETENTION
        });
    }

    /// the other members of this data centre that are not gone
    pub fn data_centre_peers(&self) -> impl Iterator<Item = &Record> {
        self.entries().map(|entry| &entry.record).filter(|record| {
            record.member.instance != self.local_instance
                && record.member.state != State::Gone
                && self.is_local(record)
        })
    }

    /// number of members of this data centre that are not gone, this one included
    pub fn data_centre_size(&self) -> usize {
        self.data_centre_peers().count() + 1
    }

    /// the next member of this data centre in the ring of instances, skipping suspected ones
    pub fn successor(&self) -> Option<u64> {
        let after = (Bound::Excluded(self.local_instance), Bound::Unbounded);
        let before = (Bound::Unbounded, Bound::Excluded(self.local_instance));
        self.entries
            .range(after)
            .chain(self.entries.range(before))
            .map(|(_, entry)| &entry.record)
            .find(|r| r.member.state != State::Gone && !r.suspected && self.is_local(r))
            .map(|record| record.member.instance)
    }

    /// members of a data centre that are not gone; a live one that is suspected has the state
    /// [`State::Suspect`]
    pub fn members_of<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = Member> + 'a {
        self.records_of(data_centre).map(with_suspicion)
    }

    /// records of the members of a data centre that are not gone
    pub fn records_of<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = &'a Record> {
        self.entries()
            .map(|entry| &entry.record)
            .filter(move |r| r.member.data_centre == data_centre && r.member.state != State::Gone)
    }

    /// hash of the records of a data centre's members that are not gone
    pub fn hash(&self, data_centre: &str) -> u32 {
        let mut hasher = Xxh3::new();
        for record in self.records_of(data_centre) {
            hasher.update(&record.member.instance.to_le_bytes());
            hasher.update(&record_digest(record));
        }
        hasher.digest() as u32
    }
}

/// the part of a record that hashes cover
pub(crate) fn record_digest(record: &Record) -> [u8; 10] {
    let mut bytes = [0; 10];
    bytes[..8].copy_from_slice(&record.incarnation.to_le_bytes());
    bytes[8] = record.member.state as u8;
    bytes[9] = u8::from(record.suspected);
    bytes
}

fn with_suspicion(record: &Record) -> Member {
    let mut member = record.member.clone();
    if record.suspected && member.state == State::Live {
        member.state = State::Suspect;
    }
    member
}

/// the record with the higher precedence wins: by incarnation, then gone, suspected, healthy
fn precedence(record: &Record) -> (u64, u8) {
    let severity = match (record.member.state, record.suspected) {
        (State::Gone, _) => 2,
        (_, true) => 1,
        (_, false) => 0,
    };
    (record.incarnation, severity)
}
