//! Copies of requests of daemons that are leaving.
//!
//! A daemon with a reclaim notice sends copies of its requests ahead, so that
//! they outlive it even if it is taken before the hand-over itself. A copy is
//! used only when a caller asks for the request and its daemon is gone.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use schema::journal::Journal;
use tokio::time::Instant;

use crate::lock;

/// copies by request id
#[derive(Debug, Default)]
pub struct Table {
    copies: Mutex<HashMap<String, Copy>>,
}

#[derive(Debug)]
struct Copy {
    journal: Journal,
    at: Instant,
}

impl Table {
    /// keeps a copy; a newer one replaces it
    pub fn put(&self, journal: Journal, now: Instant) {
        let id = journal.id.clone();
        lock(&self.copies).insert(id, Copy { journal, at: now });
    }

    /// whether there is a copy
    pub fn has(&self, id: &str) -> bool {
        lock(&self.copies).contains_key(id)
    }

    /// takes a copy out, with the time that has passed drawn from its deadline
    pub fn take(&self, id: &str, now: Instant) -> Option<Journal> {
        let copy = lock(&self.copies).remove(id)?;
        let passed = now.saturating_duration_since(copy.at).as_millis() as u64;
        let mut journal = copy.journal;
        journal.deadline_ms = journal.deadline_ms.saturating_sub(passed);
        Some(journal)
    }

    /// forgets copies whose deadline has passed
    pub fn sweep(&self, now: Instant) {
        lock(&self.copies).retain(|_, copy| {
            let left = Duration::from_millis(copy.journal.deadline_ms);
            now.saturating_duration_since(copy.at) < left
        });
    }
}
