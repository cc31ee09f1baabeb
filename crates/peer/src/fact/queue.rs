use std::collections::BTreeMap;

use macro_rules_attribute::apply;
use schema::{data, key};

use super::Key;

/// what a rumour is about
#[apply(key!)]
pub enum Topic {
    /// the claim about a member
    Member(u64),
    /// the fact about a subject
    Fact(Key),
}

/// whom a message goes to or comes from
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Neighbour {
    /// its instance, 0 when it is not known
    pub instance: u64,
    /// it is the successor in the ring of instances
    pub next: bool,
}

/// which topics go before others
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// members of this data centre
    Member,
    /// facts
    Fact,
    /// members of other data centres: many at a time, and not pressing
    Remote,
}

/// a topic to pass on
#[apply(data!)]
pub struct Rumour {
    /// what it is about
    pub topic: Topic,
    /// what goes before what
    pub class: Class,
    /// size of the message part, bytes
    pub bytes: usize,
    /// how often it goes to random members
    pub repeats: u8,
}

struct Open {
    class: Class,
    /// times it is still told to random members
    left: u8,
    /// it is still to be told to the successor
    ring: bool,
    bytes: usize,
    source: u64,
    /// place in the order of arrival
    place: u64,
}

/// news that still have to be passed on
///
/// Each topic goes once to the successor, so that without losses nobody is left out,
/// and a few times to random members, so that it spreads fast. It goes fewer times
/// when others tell it too.
#[derive(Default)]
pub struct Queue {
    open: BTreeMap<Topic, Open>,
    added: u64,
    mark: u64,
}

impl Queue {
    /// passes a topic on, but not to its `source`
    pub fn add(&mut self, rumour: Rumour, source: Neighbour) {
        self.added += 1;
        let open = Open {
            class: rumour.class,
            left: rumour.repeats,
            ring: !source.next,
            bytes: rumour.bytes,
            source: source.instance,
            place: self.added,
        };
        self.open.insert(rumour.topic, open);
    }

    /// topics for a message to `target`, of `limit` bytes at most, by class and age
    ///
    /// A topic that is larger than the limit goes alone.
    pub fn take(&mut self, target: Neighbour, limit: usize) -> Vec<Topic> {
        let mut order: Vec<(Class, u64, usize, &Topic)> = self
            .open
            .iter()
            .filter(|(_, open)| open.is_for(target))
            .map(|(topic, rumour)| (rumour.class, rumour.place, rumour.bytes, topic))
            .collect();
        order.sort();
        let mut room = limit;
        let mut taken = Vec::new();
        for (_, _, bytes, topic) in order {
            if bytes <= room || taken.is_empty() {
                room = room.saturating_sub(bytes);
                taken.push(topic.clone());
            }
        }
        for topic in &taken {
            self.strike(topic, target);
        }
        taken
    }

    /// a member told a topic that is known here: it need not be told as often
    pub fn heard(&mut self, topic: &Topic, source: Neighbour) {
        self.strike(topic, source);
    }

    fn strike(&mut self, topic: &Topic, neighbour: Neighbour) {
        let Some(rumour) = self.open.get_mut(topic) else {
            return;
        };
        if neighbour.next {
            rumour.ring = false;
        } else {
            rumour.left = rumour.left.saturating_sub(1);
        }
        if rumour.left == 0 && !rumour.ring {
            self.open.remove(topic);
        }
    }

    /// drops topics that were waiting at the last call already
    pub fn prune(&mut self) {
        let mark = std::mem::replace(&mut self.mark, self.added);
        self.open.retain(|_, open| open.place > mark);
    }

    /// number of topics that wait
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// whether nothing waits
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

impl Open {
    fn is_for(&self, target: Neighbour) -> bool {
        if target.next {
            return self.ring;
        }
        self.left > 0 && (self.source != target.instance || target.instance == 0)
    }
}
