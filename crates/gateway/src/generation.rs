//! Generation of the object API: how often it was restored from a copy.
//!
//! A restored store lacks its latest writes, leases among them, and counts its revisions anew.
//! So what was concluded from an earlier generation, such as a held lease or the position of a
//! watch, ends when the next one is seen, in a response of the store or in a message of a peer.

use std::cell::Cell;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::clock::Clock;

/// highest generation seen, and when it was first seen
#[derive(Debug)]
pub struct Generation {
    clock: Clock,
    seen: Cell<Option<(u64, Instant)>>,
    restored: Notify,
}

impl Generation {
    /// state before the first response of the store
    pub fn new(clock: Clock) -> Generation {
        Generation {
            clock,
            seen: Cell::default(),
            restored: Notify::new(),
        }
    }

    /// the highest generation seen; 0 before the first response
    pub fn current(&self) -> u64 {
        self.seen.get().map_or(0, |(generation, _)| generation)
    }

    /// when this process first saw the current generation, by the clock that includes suspension
    pub fn first_seen(&self) -> Option<Instant> {
        self.seen.get().map(|(_, at)| at)
    }

    /// records the generation of a response or message; none if there was no response yet
    pub fn observe(&self, generation: Option<u64>) {
        let Some(generation) = generation else {
            return;
        };
        match self.seen.get() {
            Some((before, _)) if generation <= before => {}
            Some((before, _)) => {
                tracing::warn!(event = "store_restored", generation, before);
                self.seen.set(Some((generation, self.clock.now())));
                self.restored.notify_waiters();
            }
            None => self.seen.set(Some((generation, self.clock.now()))),
        }
    }

    /// returns when a later generation than the current one is seen
    pub async fn restored(&self) {
        self.restored.notified().await;
    }
}
