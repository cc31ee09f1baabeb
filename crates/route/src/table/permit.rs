//! A request in flight.

use std::sync::Arc;

use schema::engine::Usage;
use tokio::time::Instant;

use super::Outcome;
use super::endpoint::Endpoint;
use crate::retry::Kind;

/// counts a request as in flight on its VM until it is finished or dropped
#[derive(Debug)]
pub struct Permit {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) number: u64,
    pub(super) blocks: Vec<u64>,
    pub(super) cached_tokens: u32,
    pub(super) preferred_tokens: u32,
    pub(super) jitter: f64,
    pub(super) probe: bool,
    pub(super) sent_at: Instant,
}

impl Permit {
    /// name of the VM
    pub fn vm(&self) -> &str {
        &self.endpoint.vm.name
    }

    /// records the outcome of the request and drops the permit
    pub(super) fn finish(self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Done { usage } => self.record_usage(&usage),
            Outcome::Answered => self.record_call(now),
            Outcome::Failed(kind) => self.record_failure(kind, now),
            Outcome::Cancelled => (),
        }
    }

    fn record_usage(&self, usage: &Usage) {
        self.endpoint.stats.record_usage(usage);
        if self.preferred_tokens > self.cached_tokens {
            let ratio = f64::from(usage.cached_tokens) / f64::from(self.preferred_tokens);
            self.endpoint.stats.record_preferred_hit(ratio);
        }
        let mut state = self.endpoint.lock();
        state
            .cache
            .update_accuracy(self.cached_tokens, usage.cached_tokens);
        state.cache.insert(&self.blocks);
        state.breaker.record_success();
    }

    fn record_call(&self, now: Instant) {
        let time = now.saturating_duration_since(self.sent_at);
        self.endpoint.stats.record_call(time.as_secs_f64() * 1e6);
        self.endpoint.lock().breaker.record_success();
    }

    fn record_failure(&self, kind: Kind, now: Instant) {
        let mut state = self.endpoint.lock();
        if kind.is_vm_lost() {
            state.cache.clear();
        }
        state.breaker.record_failure(kind, self.jitter, now);
    }

    /// whether the VM is draining
    pub fn is_draining(&self) -> bool {
        self.endpoint.is_draining()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.endpoint.lock();
        state.record_end(self.number);
        if self.probe {
            state.breaker.release_probe();
        }
    }
}
