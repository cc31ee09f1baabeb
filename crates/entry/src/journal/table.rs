//! Table of the requests in flight on this daemon.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use super::{End, Journal};
use crate::lock;

/// requests in flight, and ended ones while they can still be fetched
#[derive(Debug, Default)]
pub struct Table {
    journals: Mutex<HashMap<String, Arc<Journal>>>,
}

impl Table {
    /// adds a request
    pub fn insert(&self, journal: &Arc<Journal>) {
        lock(&self.journals).insert(journal.origin.id.clone(), Arc::clone(journal));
    }

    /// the request of this id
    pub fn get(&self, id: &str) -> Option<Arc<Journal>> {
        lock(&self.journals).get(id).cloned()
    }

    /// removes a request
    pub fn remove(&self, id: &str) {
        lock(&self.journals).remove(id);
    }

    /// requests that have not ended
    pub fn open(&self) -> Vec<Arc<Journal>> {
        let all: Vec<Arc<Journal>> = lock(&self.journals).values().cloned().collect();
        all.into_iter()
            .filter(|journal| journal.ended().is_none())
            .collect()
    }

    /// cancels requests without a reader for longer than `abandoned`, and removes those that
    /// ended longer than `retention` ago; returns the cancelled ones
    pub fn sweep(
        &self,
        abandoned: Duration,
        retention: Duration,
        now: Instant,
    ) -> Vec<Arc<Journal>> {
        let mut cancelled = Vec::new();
        for journal in self.open() {
            if journal.unread_time(now) > abandoned && journal.end(End::Cancelled, now) {
                cancelled.push(journal);
            }
        }
        lock(&self.journals).retain(|_, journal| match journal.ended_at() {
            Some(ended) => now.saturating_duration_since(ended) <= retention,
            None => true,
        });
        cancelled
    }
}
