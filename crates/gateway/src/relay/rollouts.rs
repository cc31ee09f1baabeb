use std::hash::{Hash, Hasher};

use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use super::message::RolloutUpdate;
use crate::adapter::Revision;
use crate::rollout::Entry;

/// the requests for roll-outs, as followers receive them
#[derive(Default)]
pub(super) struct Rollouts {
    entries: Vec<Entry>,
    hash: u64,
    /// revision of the store up to which the list is complete, and when it was known to be; none
    /// before the first list
    confirmed: Option<(Revision, Instant)>,
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

    /// records that the list was complete up to a revision and at a time; neither moves back
    pub fn confirm(&mut self, revision: Revision, at: Instant) {
        let (last, last_at) = self.confirmed.unwrap_or((revision, at));
        self.confirmed = Some((last.max(revision), last_at.max(at)));
    }

    /// revision up to which the list is complete, and when it was known to be
    pub fn confirmed(&self) -> Option<(Revision, Instant)> {
        self.confirmed
    }

    /// hash of the list; none before the first one
    pub fn hash(&self) -> Option<u64> {
        (self.hash != 0).then_some(self.hash)
    }

    /// the update for a follower that has a list with this hash; none before the first list
    pub fn update(&self, known: Option<u64>, now: Instant) -> Option<RolloutUpdate> {
        let (revision, at) = self.confirmed?;
        let age = now.saturating_duration_since(at);
        let age_ms = age.as_nanos().div_ceil(1_000_000);
        let is_known = known == self.hash();
        Some(RolloutUpdate {
            revision,
            age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX),
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
