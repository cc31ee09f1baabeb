//! Copies of requests of draining daemons.
//!
//! A daemon that drains sends copies of its requests to its peers, so that they survive if
//! its VM is reclaimed before the hand-over. A copy is activated only when a caller asks for
//! the request and no daemon has the request itself.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use schema::journal::Journal;
use tokio::time::Instant;

use crate::lock;

/// copies by request id
#[derive(Debug, Default)]
pub struct Table {
    copies: Mutex<HashMap<String, Entry>>,
}

#[derive(Debug)]
struct Entry {
    journal: Journal,
    received: Instant,
}

impl Table {
    /// stores a copy; replaces an earlier one
    pub fn insert(&self, journal: Journal, now: Instant) {
        let id = journal.id.clone();
        lock(&self.copies).insert(
            id,
            Entry {
                journal,
                received: now,
            },
        );
    }

    /// whether there is a copy of the request
    pub fn contains(&self, id: &str) -> bool {
        lock(&self.copies).contains_key(id)
    }

    /// removes and returns a copy, its deadline reduced by the time since it was received
    pub fn remove(&self, id: &str, now: Instant) -> Option<Journal> {
        let copy = lock(&self.copies).remove(id)?;
        let passed = now.saturating_duration_since(copy.received).as_millis() as u64;
        let mut journal = copy.journal;
        journal.deadline_ms = journal.deadline_ms.saturating_sub(passed);
        Some(journal)
    }

    /// removes copies whose deadline has passed
    pub fn sweep(&self, now: Instant) {
        lock(&self.copies).retain(|_, copy| {
            let left = Duration::from_millis(copy.journal.deadline_ms);
            now.saturating_duration_since(copy.received) < left
        });
    }
}
