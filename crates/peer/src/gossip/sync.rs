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
const MIN_PERIOD: Duration = Duration::from_secs(4);
/// mean time between comparisons of all members of the data centre together
const MEAN_PERIOD: Duration = Duration::from_millis(80);
/// one in this many comparisons includes the lists in any case
const LISTS_INTERVAL: u32 = 4;
/// largest size of the updates in one response or push, bytes; the next comparison finds the rest
const MAX_UPDATE_BYTES: usize = 128 * 1024;

impl Core {
    pub(super) fn sync_if_due(&mut self, now: Instant) {
        if now < self.due.sync {
            return;
        }
        let members = u32::try_from(self.table.data_centre_size()).unwrap_or(u32::MAX);
        let period = MIN_PERIOD.max(MEAN_PERIOD * members);
        self.due.sync = now + jittered(period, &mut self.random);
        let instances = self.table.data_centre_peers().map(|r| r.member.instance);
        if let Some(peer) = instances.choose(&mut self.random) {
            self.sync_count += 1;
            self.sync_with(peer, self.sync_count.is_multiple_of(LISTS_INTERVAL), now);
        }
    }

    /// compares the records and facts with those of a member, by lists of hashes or only by the
    /// total hash
    pub(super) fn sync_with(&mut self, peer: u64, lists: bool, now: Instant) {
        let mut digest = Digest {
            from: self.me.instance,
            clock: self.ledger.clock(),
            revision: self.ledger.revision(),
            total: self.total_hash(now),
            lists,
            members: Vec::new(),
            data_centres: Vec::new(),
        };
        if lists {
            self.add_lists(&mut digest, now);
        }
        if let Some(to) = self.target(peer) {
            self.send_call(to, Message::Sync(digest), Purpose::Sync(peer));
        }
    }

    fn add_lists(&self, digest: &mut Digest, now: Instant) {
        let mark = |(instance, hash)| Mark { instance, hash };
        let share = |data_centre: String| Share {
            hash: self.table.hash(&data_centre),
            data_centre,
        };
        digest.members = self.member_hashes(now).into_iter().map(mark).collect();
        digest.data_centres = self.data_centres().into_iter().map(share).collect();
    }

    /// hash of all members and of the facts that are not published periodically
    fn total_hash(&self, now: Instant) -> u32 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.ledger.non_periodic_hash(now).to_le_bytes());
        hasher.update(&self.table.hash(&self.me.data_centre).to_le_bytes());
        for data_centre in self.data_centres() {
            hasher.update(&self.table.hash(&data_centre).to_le_bytes());
        }
        hasher.digest() as u32
    }

    /// for each member of this data centre and origin of facts, hash of its record and its facts
    fn member_hashes(&self, now: Instant) -> BTreeMap<u64, u32> {
        let mut hashes = self.ledger.origin_hashes(now);
        for record in self.table.records_of(&self.me.data_centre) {
            let facts = hashes.entry(record.member.instance).or_default();
            let mut hasher = Xxh3::new();
            hasher.update(&record_digest(record));
            hasher.update(&facts.to_le_bytes());
            *facts = hasher.digest() as u32;
        }
        hashes
    }

    /// the difference between a digest and the records and facts here
    pub(super) fn compare_digest(&mut self, digest: &Digest, now: Instant) -> Difference {
        self.ledger.advance_clock(digest.clock);
        self.apply_revision(digest.revision, digest.from, now);
        if !digest.lists {
            return Difference {
                news: self.collect_news(&[], now, 0),
                wanted: Vec::new(),
                shares: Vec::new(),
                differs: self.total_hash(now) != digest.total,
            };
        }
        let local = self.member_hashes(now);
        let remote: BTreeMap<u64, u32> = digest
            .members
            .iter()
            .map(|mark| (mark.instance, mark.hash))
            .collect();
        let instances: BTreeSet<u64> = local.keys().chain(remote.keys()).copied().collect();
        let differing: Vec<u64> = instances
            .into_iter()
            .filter(|instance| local.get(instance) != remote.get(instance))
            .collect();
        let shares = self.differing_data_centres(digest);
        let wanted = differing
            .iter()
            .filter(|instance| remote.contains_key(instance))
            .copied()
            .collect();
        Difference {
            news: self.collect_updates(&differing, &shares, now),
            wanted,
            shares,
            differs: false,
        }
    }

    fn differing_data_centres(&self, digest: &Digest) -> Vec<String> {
        let remote: BTreeMap<&str, u32> = digest
            .data_centres
            .iter()
            .map(|share| (share.data_centre.as_str(), share.hash))
            .collect();
        let mut names = self.data_centres();
        names.extend(remote.keys().map(|name| (*name).to_owned()));
        names.remove(&self.me.data_centre);
        names
            .into_iter()
            .filter(|name| remote.get(name.as_str()) != Some(&self.table.hash(name)))
            .collect()
    }

    /// the records and facts of some instances, and the members of some data centres
    fn collect_updates(&self, instances: &[u64], shares: &[String], now: Instant) -> News {
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
        self.collect_news(&subjects, now, MAX_UPDATE_BYTES)
    }

    /// applies a difference and sends the peer what it asked for
    pub(super) fn reconcile(&mut self, peer: u64, difference: &Difference, now: Instant) {
        if difference.differs {
            self.sync_with(peer, true, now);
            return;
        }
        let mut to_send = difference.wanted.clone();
        for record in &difference.news.records {
            if !self.apply_record(record, peer, now) {
                to_send.push(record.member.instance);
            }
        }
        for item in &difference.news.items {
            self.apply_item(item, peer, now);
        }
        let news = self.collect_updates(&to_send, &difference.shares, now);
        if !news.records.is_empty() || !news.items.is_empty() {
            self.push_to(peer, news);
        }
    }

    /// the other data centres with known members that are not gone
    pub(super) fn data_centres(&self) -> BTreeSet<String> {
        self.table
            .entries()
            .map(|entry| &entry.record.member)
            .filter(|m| m.state != State::Gone && m.data_centre != self.me.data_centre)
            .map(|member| member.data_centre.clone())
            .collect()
    }
}
