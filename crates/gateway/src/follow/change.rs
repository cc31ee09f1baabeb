use std::collections::HashMap;

use macro_rules_attribute::apply;
use schema::message;

use crate::model::Vm;

/// a change of a VM in the object API, as sent to the peers
#[apply(message!)]
pub enum Change {
    /// the VM registered or changed its entry
    Listed {
        /// the VM
        vm: Vm,
        /// the store's revision of the change
        revision: u64,
    },
    /// the entry was deleted or can't be decoded
    #[serde(rename = "gone")]
    Removed {
        /// the VM's instance id
        id: String,
        /// a revision of the store at which the entry no longer existed
        revision: u64,
    },
}

impl Change {
    fn key(&self) -> (&str, u64) {
        match self {
            Change::Listed { vm, revision } => (&vm.id, *revision),
            Change::Removed { id, revision } => (id, *revision),
        }
    }
}

/// latest applied revision of each VM, over changes from peers and from the local watch
///
/// Either source can lag behind, so changes are ordered by the store's revision.
#[derive(Debug, Default)]
pub struct Revisions {
    watched: u64,
    received: HashMap<String, u64>,
}

impl Revisions {
    /// records that the local watch has shown all changes up to a revision
    pub fn record_watched(&mut self, revision: u64) {
        self.watched = self.watched.max(revision);
        self.received.retain(|_, received| *received > revision);
    }

    /// whether a change from a peer is newer than the VM's state; if so, it is recorded
    pub fn accepts(&mut self, change: &Change) -> bool {
        let (id, revision) = change.key();
        if revision <= self.watched {
            return false;
        }
        let latest = self.received.get(id).copied().unwrap_or_default();
        if revision <= latest {
            return false;
        }
        self.received.insert(id.to_owned(), revision);
        true
    }

    /// whether a change from a peer supersedes an entry of the local watch
    pub fn supersedes(&self, id: &str, revision: u64) -> bool {
        self.received
            .get(id)
            .is_some_and(|received| *received > revision)
    }
}
