use std::cmp::Reverse;
use std::collections::BTreeMap;

use macro_rules_attribute::apply;
use schema::key;

use super::Key;

/// what a rumour is about
#[apply(key!)]
pub enum Topic {
    /// the claim about a member
    Member(u64),
    /// the fact about a subject
    Fact(Key),
}

struct Rumour {
    left: u8,
    bytes: usize,
    source: u64,
}

/// news that still have to be passed on
#[derive(Default)]
pub struct Queue {
    rumours: BTreeMap<Topic, Rumour>,
}

impl Queue {
    /// passes a topic on `repeats` times, but not to `source`, who told it
    pub fn add(&mut self, topic: Topic, bytes: usize, repeats: u8, source: u64) {
        let rumour = Rumour {
            left: repeats,
            bytes,
            source,
        };
        self.rumours.insert(topic, rumour);
    }

    /// topics for a message to `target`, of `limit` bytes at most, the least told first
    ///
    /// A topic that is larger than the limit goes alone.
    pub fn take(&mut self, target: u64, limit: usize) -> Vec<Topic> {
        let mut order: Vec<(Reverse<u8>, usize, &Topic)> = self
            .rumours
            .iter()
            .filter(|(_, rumour)| rumour.source != target)
            .map(|(topic, rumour)| (Reverse(rumour.left), rumour.bytes, topic))
            .collect();
        order.sort();
        let mut room = limit;
        let mut taken = Vec::new();
        for (_, bytes, topic) in order {
            if bytes <= room || taken.is_empty() {
                room = room.saturating_sub(bytes);
                taken.push(topic.clone());
            }
        }
        for topic in &taken {
            self.told(topic);
        }
        taken
    }

    fn told(&mut self, topic: &Topic) {
        let Some(rumour) = self.rumours.get_mut(topic) else {
            return;
        };
        rumour.left = rumour.left.saturating_sub(1);
        if rumour.left == 0 {
            self.rumours.remove(topic);
        }
    }

    /// number of topics that wait
    pub fn len(&self) -> usize {
        self.rumours.len()
    }

    /// whether nothing waits
    pub fn is_empty(&self) -> bool {
        self.rumours.is_empty()
    }
}
