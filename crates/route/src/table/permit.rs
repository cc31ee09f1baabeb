//! A request in flight.

use std::sync::Arc;

use schema::engine::Usage;
use tokio::time::Instant;

use super::Outcome;
use super::node::Node;
use crate::retry::Kind;

/// counts a request as in flight on its VM until it is finished or dropped
#[derive(Debug)]
pub struct Permit {
    pub(super) node: Arc<Node>,
    pub(super) number: u64,
    pub(super) blocks: Vec<u64>,
    pub(super) known_tokens: u32,
    pub(super) home_tokens: u32,
    pub(super) jitter: f64,
    pub(super) probe: bool,
    pub(super) at: Instant,
}

impl Permit {
    /// returns the name of the VM
    pub fn vm(&self) -> &str {
        &self.node.vm.name
    }

    /// records how the request ended, then gives it back
    pub(super) fn settle(self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Done { usage } => self.answered(&usage),
            Outcome::Answered => self.called(now),
            Outcome::Failed(kind) => self.failed(kind, now),
            Outcome::Cancelled => (),
        }
    }

    fn answered(&self, usage: &Usage) {
        self.node.stats.answered(usage);
        if self.home_tokens > self.known_tokens {
            let share = f64::from(usage.cached_tokens) / f64::from(self.home_tokens);
            self.node.stats.home(share);
        }
        let mut live = self.node.live();
        live.belief.correct(self.known_tokens, usage.cached_tokens);
        live.belief.store(&self.blocks);
        live.breaker.succeed();
    }

    fn called(&self, now: Instant) {
        let time = now.saturating_duration_since(self.at);
        self.node.stats.called(time.as_secs_f64() * 1e6);
        self.node.live().breaker.succeed();
    }

    fn failed(&self, kind: Kind, now: Instant) {
        let mut live = self.node.live();
        if kind.is_vm_lost() {
            live.belief.forget();
        }
        live.breaker.fail(kind, self.jitter, now);
    }

    /// tells whether the VM is known to be leaving by now
    pub fn is_leaving(&self) -> bool {
        self.node.is_leaving()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut live = self.node.live();
        live.end(self.number);
        if self.probe {
            live.breaker.release();
        }
    }
}
