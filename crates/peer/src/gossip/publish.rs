use std::collections::BTreeSet;

use rand::seq::IteratorRandom;
use schema::member::{Fact, News, Push, State};
use tokio::time::Instant;

use super::apply::size;
use super::{Core, Message};
use crate::fact::{Key, Merge, Subject, timing};

/// number of members that an urgent update is pushed to: the successor and random ones
const FAN_OUT: usize = 3;
/// largest size of the updates piggybacked on one probe or its response, bytes
const MAX_PIGGYBACK_BYTES: usize = 900;
/// largest size of the updates in one push, bytes
const MAX_PUSH_BYTES: usize = 16 * 1024;

impl Core {
    /// publishes a fact of this daemon
    pub fn publish(&mut self, fact: Fact, now: Instant) {
        match fact {
            Fact::Demand(demand) => self.demand = demand,
            Fact::Load(_) => {
                self.pending.insert(Key::Load(self.me.instance), fact);
            }
            Fact::Revision(revision) => {
                if revision.number > self.ledger.revision() {
                    self.publish_now(Fact::Revision(revision), now);
                }
            }
            fact => self.publish_now(fact, now),
        }
        self.push_urgent(now);
    }

    pub(super) fn publish_now(&mut self, fact: Fact, now: Instant) {
        let item = self.ledger.create_item(self.me.instance, fact);
        if self.ledger.merge(&item, now) == Merge::Updated {
            self.queue_item(&item, 0);
        }
    }

    /// publishes a load report when its period has passed, and renews the applied revision
    /// before it expires
    pub(super) fn publish_due(&mut self, now: Instant) {
        if now >= self.due.load
            && let Some(fact) = self.pending.remove(&Key::Load(self.me.instance))
        {
            let loads = self.ledger.current_entries(now);
            let origins = loads.filter(|(key, _)| matches!(key, Key::Load(_))).count();
            self.due.load = now + timing::load_period(origins);
            self.publish_now(fact, now);
        }
        if now >= self.due.refresh {
            self.due.refresh = now + timing::REFRESH_PERIOD;
            let key = Key::Applied(self.me.instance);
            if let Some(stored) = self.ledger.latest(&key) {
                let fact = stored.fact.clone();
                self.publish_now(fact, now);
            }
        }
    }

    /// takes queued updates that fit into a probe or its response
    pub(super) fn piggyback(&mut self, target: u64, now: Instant) -> News {
        let target = self.peer(target);
        let subjects = self.queue.take(target, MAX_PIGGYBACK_BYTES);
        self.collect_news(&subjects, now, MAX_PIGGYBACK_BYTES)
    }

    /// the current records and facts about `subjects`, in order until `limit` bytes are reached
    pub(super) fn collect_news(&self, subjects: &[Subject], now: Instant, limit: usize) -> News {
        let mut news = News {
            records: Vec::new(),
            items: Vec::new(),
        };
        let mut bytes = 0;
        for subject in subjects {
            if bytes >= limit {
                break;
            }
            match subject {
                Subject::Member(instance) => {
                    if let Some(entry) = self.table.get(*instance) {
                        bytes += size(&entry.record);
                        news.records.push(entry.record.clone());
                    }
                }
                Subject::Fact(key) => {
                    if let Some(stored) = self.ledger.current(key, now) {
                        let item = stored.to_item(now);
                        bytes += size(&item);
                        news.items.push(item);
                    }
                }
            }
        }
        news
    }

    /// pushes urgent updates to a few members
    pub(super) fn push_urgent(&mut self, now: Instant) {
        if self.urgent.is_empty() {
            return;
        }
        let subjects: BTreeSet<Subject> = std::mem::take(&mut self.urgent).into_iter().collect();
        let subjects: Vec<Subject> = subjects.into_iter().collect();
        let news = self.collect_news(&subjects, now, MAX_PUSH_BYTES);
        for instance in self.push_targets(&subjects) {
            self.push_to(instance, news.clone());
        }
    }

    /// members to push to: the successor, so that without losses the update reaches every
    /// member; members that the update suspects, so that they can refute it; random others
    fn push_targets(&mut self, subjects: &[Subject]) -> BTreeSet<u64> {
        let mut targets: BTreeSet<u64> = self.table.successor().into_iter().collect();
        for subject in subjects {
            if let Subject::Member(instance) = subject
                && let Some(entry) = self.table.get(*instance)
                && entry.record.suspected
                && entry.record.member.state != State::Gone
            {
                targets.insert(*instance);
            }
        }
        let excluded: Vec<u64> = targets.iter().copied().collect();
        targets.extend(self.random_peers(FAN_OUT - 1, &excluded));
        targets
    }

    pub(super) fn push_to(&mut self, instance: u64, news: News) {
        let push = Push {
            from: self.me.instance,
            news,
        };
        self.notify(instance, Message::Push(push));
    }

    /// random other members of this data centre, except `without`
    pub(super) fn random_peers(&mut self, count: usize, without: &[u64]) -> Vec<u64> {
        self.table
            .data_centre_peers()
            .map(|record| record.member.instance)
            .filter(|instance| !without.contains(instance))
            .choose_multiple(&mut self.random, count)
    }
}
