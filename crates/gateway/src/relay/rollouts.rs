use std::hash::{Hash, Hasher};

use xxhash_rust::xxh3::Xxh3;

use super::message::RolloutUpdate;
use crate::adapter::Revision;
use crate::rollout::Entry;

/// the requests for roll-outs, as followers receive them
#[derive(Default)]
pub(super) struct Rollouts {
    entries: Vec<Entry>,
    hash: u64,
    /// revision of the store up to which the list is complete; none before the first list
    revision: Option<Revision>,
}

impl Rollouts {
    /// replaces the list; false if it is the same
    pub fn replace(&mut self, entries: Vec<Entry>) -> bool {
        if self.hash != 0 && self.entries == entries {
            return false;
        }
        self.hash = hash(&entries);
        self.entries = entries;
        true
    }

    /// records that the list was complete up to a revision, which never decreases
    pub fn confirm(&mut self, revision: Revision) {
        self.revision = self.revision.max(Some(revision));
    }

    /// revision up to which the list is complete
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// hash of the list; none before the first one
    pub fn hash(&self) -> Option<u64> {
        (self.hash != 0).then_some(self.hash)
    }

    /// the update for a follower that has a list with this hash; none before the first list
    pub fn update(&self, known: Option<u64>) -> Option<RolloutUpdate> {
        let is_known = known == self.hash();
        Some(RolloutUpdate {
            revision: self.revision?,
            entries: (!is_known).then(|| self.entries.clone()),
        })
    }
}

/// hash of the list; never 0, which stands for no list
fn hash(entries: &[Entry]) -> u64 {
    let mut hash = Xxh3::new();
    for entry in entries {
        entry.name.hash(&mut hash);
        entry.revision.hash(&mut hash);
        entry.request.hash(&mut hash);
        entry.is_certain.hash(&mut hash);
        entry.state().hash(&mut hash);
    }
    hash.finish().max(1)
}
