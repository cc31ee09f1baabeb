use std::collections::BTreeMap;

use macro_rules_attribute::apply;
use schema::{data, key};

use super::Key;

/// what an update is about
#[apply(key!)]
pub enum Subject {
    /// the record of a member, by instance
    Member(u64),
    /// a fact, by its key
    Fact(Key),
}

/// receiver or sender of a message
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// its instance, 0 if unknown
    pub instance: u64,
    /// whether it is this daemon's successor in the ring of instances
    pub is_successor: bool,
}

/// order in which updates are sent
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// members of this data centre
    Member,
    /// facts
    Fact,
    /// members of other data centres: many at a time, and not urgent
    Remote,
}

/// an update to send to other members
#[apply(data!)]
pub struct Update {
    /// what it is about
    pub subject: Subject,
    /// order relative to other updates
    pub priority: Priority,
    /// size in a message, bytes
    pub bytes: usize,
    /// how often it is sent to random members
    pub random_sends: u8,
}

struct Pending {
    priority: Priority,
    /// how often it is still to be sent to random members
    random_sends: u8,
    /// whether it is still to be sent to the successor
    to_successor: bool,
    bytes: usize,
    source: u64,
    /// position in the order of arrival
    sequence: u64,
}

/// updates that are still to be sent
///
/// Each update is sent once to the successor, so that without losses it reaches every member,
/// and a few times to random members, so that it spreads fast. Each copy received from another
/// member counts as one of these sends.
#[derive(Default)]
pub struct Queue {
    pending: BTreeMap<Subject, Pending>,
    last_sequence: u64,
    prune_mark: u64,
}

impl Queue {
    /// queues an update, which is not sent back to its `source`
    pub fn add(&mut self, update: Update, source: Peer) {
        self.last_sequence += 1;
        let pending = Pending {
            priority: update.priority,
            random_sends: update.random_sends,
            to_successor: !source.is_successor,
            bytes: update.bytes,
            source: source.instance,
            sequence: self.last_sequence,
        };
        self.pending.insert(update.subject, pending);
    }

    /// takes subjects for a message to `target`, at most `limit` bytes, by priority and age
    ///
    /// A first one that is larger than the limit is sent alone.
    pub fn take(&mut self, target: Peer, limit: usize) -> Vec<Subject> {
        let mut order: Vec<(Priority, u64, usize, &Subject)> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.is_for(target))
            .map(|(subject, update)| (update.priority, update.sequence, update.bytes, subject))
            .collect();
        order.sort();
        let mut remaining = limit;
        let mut subjects = Vec::new();
        for (_, _, bytes, subject) in order {
            if bytes <= remaining || subjects.is_empty() {
                remaining = remaining.saturating_sub(bytes);
                subjects.push(subject.clone());
            }
        }
        for subject in &subjects {
            self.count_send(subject, target);
        }
        subjects
    }

    /// counts a copy of a known update that another member sent as one send
    pub fn record_duplicate(&mut self, subject: &Subject, source: Peer) {
        self.count_send(subject, source);
    }

    fn count_send(&mut self, subject: &Subject, peer: Peer) {
        let Some(update) = self.pending.get_mut(subject) else {
            return;
        };
        if peer.is_successor {
            update.to_successor = false;
        } else {
            update.random_sends = update.random_sends.saturating_sub(1);
        }
        if update.random_sends == 0 && !update.to_successor {
            self.pending.remove(subject);
        }
    }

    /// drops updates that were already queued at the previous call
    pub fn prune(&mut self) {
        let prune_mark = std::mem::replace(&mut self.prune_mark, self.last_sequence);
        self.pending
            .retain(|_, pending| pending.sequence > prune_mark);
    }

    /// number of queued updates
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// whether no update is queued
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

impl Pending {
    fn is_for(&self, target: Peer) -> bool {
        if target.is_successor {
            return self.to_successor;
        }
        self.random_sends > 0 && (self.source != target.instance || target.instance == 0)
    }
}
