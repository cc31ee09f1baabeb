use std::collections::BTreeSet;

use rand::seq::IteratorRandom;
use schema::member::{Fact, News, Push, State};
use tokio::time::Instant;

use super::learn::size;
use super::{Core, Message};
use crate::fact::{Key, Merge, Subject, timing};

/// members that an urgent fact is pushed to: the successor and random ones
const FAN_OUT: usize = 3;
/// bytes of news that ride on one probe or its answer
const PIGGYBACK: usize = 900;
/// bytes of urgent news in one push
const PUSH: usize = 16 * 1024;

impl Core {
    /// tells the other daemons a fact of this one
    pub fn publish(&mut self, fact: Fact, now: Instant) {
        match fact {
            Fact::Demand(demand) => self.demand = demand,
            Fact::Load(_) => {
                self.pending.insert(Key::Load(self.me.instance), fact);
            }
            Fact::Revision(revision) => {
                if revision.number > self.ledger.revision() {
                    self.emit(Fact::Revision(revision), now);
                }
            }
            fact => self.emit(fact, now),
        }
        self.push_urgent(now);
    }

    pub(super) fn emit(&mut self, fact: Fact, now: Instant) {
        let item = self.ledger.create_item(self.me.instance, fact);
        if self.ledger.merge(&item, now) == Merge::Updated {
            self.pass_on(&item, 0);
        }
    }

    /// publishes what waited for its period, and renews what would lapse
    pub(super) fn emit_pending(&mut self, now: Instant) {
        if now >= self.due.load
            && let Some(fact) = self.pending.remove(&Key::Load(self.me.instance))
        {
            let loads = self.ledger.current_entries(now);
            let origins = loads.filter(|(key, _)| matches!(key, Key::Load(_))).count();
            self.due.load = now + timing::load_period(origins);
            self.emit(fact, now);
        }
        if now >= self.due.refresh {
            self.due.refresh = now + timing::REFRESH_PERIOD;
            let key = Key::Applied(self.me.instance);
            if let Some(stored) = self.ledger.latest(&key) {
                let fact = stored.fact.clone();
                self.emit(fact, now);
            }
        }
    }

    /// news that fit on a probe or its answer
    pub(super) fn piggyback(&mut self, target: u64, now: Instant) -> News {
        let target = self.neighbour(target);
        let subjects = self.queue.take(target, PIGGYBACK);
        self.news(&subjects, now, PIGGYBACK)
    }

    /// what is known now about some topics, up to `limit` bytes but one at least
    pub(super) fn news(&self, subjects: &[Subject], now: Instant, limit: usize) -> News {
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

    /// pushes urgent news to a few members
    pub(super) fn push_urgent(&mut self, now: Instant) {
        if self.urgent.is_empty() {
            return;
        }
        let subjects: BTreeSet<Subject> = std::mem::take(&mut self.urgent).into_iter().collect();
        let subjects: Vec<Subject> = subjects.into_iter().collect();
        let news = self.news(&subjects, now, PUSH);
        for instance in self.audience(&subjects) {
            self.push_to(instance, news.clone());
        }
    }

    /// whom to push to: the successor, so that nobody is left out; the members that
    /// the news suspect, so that they can refute; and random others
    fn audience(&mut self, subjects: &[Subject]) -> BTreeSet<u64> {
        let mut audience: BTreeSet<u64> = self.table.successor().into_iter().collect();
        for subject in subjects {
            if let Subject::Member(instance) = subject
                && let Some(entry) = self.table.get(*instance)
                && entry.record.suspected
                && entry.record.member.state != State::Gone
            {
                audience.insert(*instance);
            }
        }
        let passed: Vec<u64> = audience.iter().copied().collect();
        audience.extend(self.sample(FAN_OUT - 1, &passed));
        audience
    }

    pub(super) fn push_to(&mut self, instance: u64, news: News) {
        let push = Push {
            from: self.me.instance,
            news,
        };
        self.tell(instance, Message::Push(push));
    }

    /// random other members of this data centre, without some
    pub(super) fn sample(&mut self, count: usize, without: &[u64]) -> Vec<u64> {
        self.table
            .data_centre_peers()
            .map(|record| record.member.instance)
            .filter(|instance| !without.contains(instance))
            .choose_multiple(&mut self.random, count)
    }
}
