use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::seq::IteratorRandom;
use schema::member::{Difference, Digest, Mark, News, Share, State};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use super::core::Purpose;
use super::{Core, Message};
use crate::fact::Subject;
use crate::member::record_digest;
use crate::member::timing::jittered;

/// shortest time between two comparisons with a random member
const PERIOD: Duration = Duration::from_secs(4);
/// time between two comparisons, for each member of the data centre
const SHARE: Duration = Duration::from_millis(80);
/// one in so many comparisons is by the lists in any case
const WITH_LISTS: u32 = 4;
/// bytes of news in one answer; the rest comes with the next comparison
const ANSWER: usize = 128 * 1024;

impl Core {
    pub(super) fn sync_when_due(&mut self, now: Instant) {
        if now < self.due.sync {
            return;
        }
        let members = u32::try_from(self.table.data_centre_size()).unwrap_or(u32::MAX);
        let period = PERIOD.max(SHARE * members);
        self.due.sync = now + jittered(period, &mut self.random);
        let instances = self.table.data_centre_peers().map(|r| r.member.instance);
        if let Some(peer) = instances.choose(&mut self.random) {
            self.syncs += 1;
            self.sync_with(peer, self.syncs.is_multiple_of(WITH_LISTS), now);
        }
    }

    /// compares with one member what both know, by the lists or only by the total
    pub(super) fn sync_with(&mut self, peer: u64, lists: bool, now: Instant) {
        let mut digest = Digest {
            from: self.me.instance,
            clock: self.ledger.clock(),
            revision: self.ledger.revision(),
            total: self.total(now),
            lists,
            members: Vec::new(),
            data_centres: Vec::new(),
        };
        if lists {
            self.add_lists(&mut digest, now);
        }
        if let Some(to) = self.target(peer) {
            self.send(to, Message::Sync(digest), Purpose::Sync(peer));
        }
    }

    fn add_lists(&self, digest: &mut Digest, now: Instant) {
        let mark = |(instance, hash)| Mark { instance, hash };
        let share = |data_centre: String| Share {
            hash: self.table.hash(&data_centre),
            data_centre,
        };
        digest.members = self.marks(now).into_iter().map(mark).collect();
        digest.data_centres = self.data_centres().into_iter().map(share).collect();
    }

    /// hash of all members and of the facts that last
    fn total(&self, now: Instant) -> u32 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.ledger.non_periodic_hash(now).to_le_bytes());
        hasher.update(&self.table.hash(&self.me.data_centre).to_le_bytes());
        for data_centre in self.data_centres() {
            hasher.update(&self.table.hash(&data_centre).to_le_bytes());
        }
        hasher.digest() as u32
    }

    /// hashes of the claim about each member and of the facts it published
    fn marks(&self, now: Instant) -> BTreeMap<u64, u32> {
        let mut marks = self.ledger.origin_hashes(now);
        for record in self.table.records_of(&self.me.data_centre) {
            let facts = marks.entry(record.member.instance).or_default();
            let mut hasher = Xxh3::new();
            hasher.update(&record_digest(record));
            hasher.update(&facts.to_le_bytes());
            *facts = hasher.digest() as u32;
        }
        marks
    }

    /// what is known here otherwise than a digest says
    pub(super) fn compare(&mut self, digest: &Digest, now: Instant) -> Difference {
        self.ledger.advance_clock(digest.clock);
        self.learn_revision(digest.revision, digest.from, now);
        if !digest.lists {
            return Difference {
                news: self.news(&[], now, 0),
                wanted: Vec::new(),
                shares: Vec::new(),
                differs: self.total(now) != digest.total,
            };
        }
        let own = self.marks(now);
        let theirs: BTreeMap<u64, u32> = digest
            .members
            .iter()
            .map(|mark| (mark.instance, mark.hash))
            .collect();
        let instances: BTreeSet<u64> = own.keys().chain(theirs.keys()).copied().collect();
        let differing: Vec<u64> = instances
            .into_iter()
            .filter(|instance| own.get(instance) != theirs.get(instance))
            .collect();
        let shares = self.differing_shares(digest);
        let wanted = differing
            .iter()
            .filter(|instance| theirs.contains_key(instance))
            .copied()
            .collect();
        Difference {
            news: self.gather(&differing, &shares, now),
            wanted,
            shares,
            differs: false,
        }
    }

    fn differing_shares(&self, digest: &Digest) -> Vec<String> {
        let theirs: BTreeMap<&str, u32> = digest
            .data_centres
            .iter()
            .map(|share| (share.data_centre.as_str(), share.hash))
            .collect();
        let mut names = self.data_centres();
        names.extend(theirs.keys().map(|name| (*name).to_owned()));
        names.remove(&self.me.data_centre);
        names
            .into_iter()
            .filter(|name| theirs.get(name.as_str()) != Some(&self.table.hash(name)))
            .collect()
    }

    /// everything about some instances and the members of some data centres
    fn gather(&self, instances: &[u64], shares: &[String], now: Instant) -> News {
        let members = instances.iter().copied().map(Subject::Member);
        let facts = self
            .ledger
            .current_entries(now)
            .filter(|(_, stored)| instances.contains(&stored.origin))
            .map(|(key, _)| Subject::Fact(key.clone()));
        let remote = shares
            .iter()
            .flat_map(|name| self.table.records_of(name))
            .map(|record| Subject::Member(record.member.instance));
        let subjects: Vec<Subject> = members.chain(facts).chain(remote).collect();
        self.news(&subjects, now, ANSWER)
    }

    /// takes over a difference and tells the other side what it asked for
    pub(super) fn reconcile(&mut self, peer: u64, difference: &Difference, now: Instant) {
        if difference.differs {
            self.sync_with(peer, true, now);
            return;
        }
        let mut lagging = difference.wanted.clone();
        for record in &difference.news.records {
            if !self.learn_record(record, peer, now) {
                lagging.push(record.member.instance);
            }
        }
        for item in &difference.news.items {
            self.learn_item(item, peer, now);
        }
        let news = self.gather(&lagging, &difference.shares, now);
        if !news.records.is_empty() || !news.items.is_empty() {
            self.push_to(peer, news);
        }
    }

    /// the other data centres that have members here
    pub(super) fn data_centres(&self) -> BTreeSet<String> {
        self.table
            .entries()
            .map(|entry| &entry.record.member)
            .filter(|m| m.state != State::Gone && m.data_centre != self.me.data_centre)
            .map(|member| member.data_centre.clone())
            .collect()
    }
}
