use std::collections::{BTreeMap, HashMap, VecDeque};

use super::batch::{Batch, Group, Ids};
use super::{MAX_TIME, Origin};

/// records of a daemon: those of a zone at the largest size, 625 streams a second for the longest time
const MAX_RECORDS: usize = 65_536;

/// records of the streams that are known to a daemon
#[derive(Debug, Default)]
pub struct Table {
    origins: Vec<Origin>,
    by_id: HashMap<u64, Record>,
    /// ids in the order of their records
    order: VecDeque<u64>,
    /// this daemon's own records in their order, of which the oldest has the number `first_own`
    own: VecDeque<u64>,
    first_own: u64,
    changes: u64,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    /// index of the origin; none if it is uncertain
    origin: Option<usize>,
    until_s: u64,
}

impl Table {
    /// records that a stream began at this daemon; a record that exists already stays
    pub fn record(&mut self, id: u64, origin: &Origin, until_s: u64, now_s: u64) {
        let index = self.index(origin);
        if self.insert(id, Some(index), until_s, now_s) {
            self.own.push_back(id);
        }
    }

    /// records that the origin of one of this daemon's streams is uncertain
    pub fn doubt(&mut self, id: u64) {
        if let Some(record) = self.by_id.get_mut(&id) {
            record.origin = None;
            self.changes += 1;
            self.own.push_back(id);
        }
    }

    /// adds the records of other daemons; what one of them found to be uncertain stays so
    pub fn merge(&mut self, batch: &Batch, now_s: u64) {
        for group in &batch.groups {
            let origin = group.origin.as_ref().map(|origin| self.index(origin));
            for id in &group.ids.0 {
                if !self.insert(*id, origin, group.until_s, now_s) && origin.is_none() {
                    self.set_uncertain(*id);
                }
            }
        }
    }

    /// where a stream began; none if that is not known
    pub fn find(&self, id: u64, now_s: u64) -> Option<&Origin> {
        let record = self.by_id.get(&id)?;
        let is_current = now_s <= record.until_s;
        record
            .origin
            .filter(|_| is_current)
            .map(|index| &self.origins[index])
    }

    /// this daemon's own records from a number on, and the number of the next one
    pub fn own_after(&self, number: u64, now_s: u64) -> (Batch, u64) {
        let skipped = number.saturating_sub(self.first_own);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let ids = self.own.iter().skip(skipped).copied();
        let next = self.first_own + self.own.len() as u64;
        (self.batch(ids, now_s), next)
    }

    /// all records that have not lapsed
    pub fn all(&self, now_s: u64) -> Batch {
        self.batch(self.order.iter().copied(), now_s)
    }

    /// number that changes with each new record
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// number of records
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// whether there is no record
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    fn batch(&self, ids: impl Iterator<Item = u64>, now_s: u64) -> Batch {
        let mut groups: BTreeMap<(Option<usize>, u64), Vec<u64>> = BTreeMap::new();
        for id in ids {
            let Some(record) = self.by_id.get(&id) else {
                continue;
            };
            if now_s <= record.until_s {
                let key = (record.origin, record.until_s);
                groups.entry(key).or_default().push(id);
            }
        }
        let groups = groups.into_iter().map(|((origin, until_s), ids)| Group {
            origin: origin.map(|index| self.origins[index].clone()),
            until_s,
            ids: Ids(ids),
        });
        Batch {
            groups: groups.collect(),
        }
    }

    /// adds a record; false if there is one already
    fn insert(&mut self, id: u64, origin: Option<usize>, until_s: u64, now_s: u64) -> bool {
        self.remove_lapsed(now_s);
        if let Some(record) = self.by_id.get_mut(&id) {
            record.until_s = record.until_s.max(until_s.min(now_s + MAX_TIME.as_secs()));
            return false;
        }
        if until_s < now_s {
            return false;
        }
        let until_s = until_s.min(now_s + MAX_TIME.as_secs());
        self.by_id.insert(id, Record { origin, until_s });
        self.order.push_back(id);
        self.changes += 1;
        if self.by_id.len() > MAX_RECORDS {
            self.remove_oldest();
        }
        true
    }

    fn set_uncertain(&mut self, id: u64) {
        if let Some(record) = self.by_id.get_mut(&id)
            && record.origin.take().is_some()
        {
            self.changes += 1;
        }
    }

    fn remove_lapsed(&mut self, now_s: u64) {
        while let Some(id) = self.order.front() {
            match self.by_id.get(id) {
                Some(record) if now_s <= record.until_s => return,
                _ => self.remove_oldest(),
            }
        }
    }

    fn remove_oldest(&mut self) {
        let Some(id) = self.order.pop_front() else {
            return;
        };
        self.by_id.remove(&id);
        while let Some(own) = self.own.front()
            && !self.by_id.contains_key(own)
        {
            self.own.pop_front();
            self.first_own += 1;
        }
    }

    /// index of an origin; there are as many as versions since the start
    fn index(&mut self, origin: &Origin) -> usize {
        if let Some(index) = self.origins.iter().position(|known| known == origin) {
            return index;
        }
        self.origins.push(origin.clone());
        self.origins.len() - 1
    }
}
