//! State of one VM as known to this daemon.

use std::time::Duration;

use tokio::time::Instant;

use super::Request;
use super::backlog::{Backlog, Queue};
use super::cache::CacheEstimate;
use super::rate::Rate;
use super::stated::Stated;
use super::stats::Means;
use crate::retry::Breaker;

/// requests per second to a VM at which that rate and the service's mean have equal weight
const EQUAL_WEIGHT_SENDS: f64 = 0.2;

/// state of one VM
#[derive(Debug)]
pub(super) struct VmState {
    /// its queue
    pub backlog: Backlog,
    /// its prefix cache
    pub cache: CacheEstimate,
    /// whether it may be sent requests
    pub breaker: Breaker,
    /// requests sent by this daemon
    pub sends: Rate,
    /// what it states about itself
    pub stated: Stated,
}

/// estimate of a VM for one request
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    /// its queue
    pub queue: Queue,
    /// local requests in flight
    pub in_flight: u32,
    /// leading tokens estimated to be cached, from cache events and local requests
    pub cached_tokens: u32,
    /// tokens that would be prefilled
    pub prefill_tokens: u32,
    /// whether it refuses requests of another daemon
    pub is_avoided: bool,
}

/// traffic assumed of other daemons
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerTraffic {
    /// number of other daemons
    pub daemons: f64,
    /// mean requests sent by this daemon to a VM of the service, per second
    pub mean_sends: f64,
}

impl VmState {
    /// creates the state of a VM without reports or requests
    pub fn new(slots: u32) -> VmState {
        VmState {
            backlog: Backlog::new(slots),
            cache: CacheEstimate::new(),
            breaker: Breaker::new(),
            sends: Rate::default(),
            stated: Stated::default(),
        }
    }

    /// estimates the queue, assuming that each other daemon sends as much as this one
    pub fn queue(&self, means: &Means, peers: &PeerTraffic, now: Instant) -> Queue {
        let local = self.sends.per_second(now);
        let weight = local / (local + EQUAL_WEIGHT_SENDS);
        let per_peer = weight * local + (1.0 - weight) * peers.mean_sends;
        self.backlog.queue(means, peers.daemons * per_peer, now)
    }

    /// whether the breaker admits a request, and the VM accepts one of this daemon
    pub fn permits(&self, now: Instant) -> bool {
        self.breaker.permits(now) && self.stated.wait(now).is_zero()
    }

    /// time until the breaker admits a request and the VM accepts one of this daemon
    pub fn wait(&self, now: Instant) -> Duration {
        self.breaker.wait(now).max(self.stated.wait(now))
    }

    /// estimates the wait, microseconds; none if no request is permitted
    pub fn wait_us(&self, means: &Means, peers: &PeerTraffic, now: Instant) -> Option<f64> {
        if !self.permits(now) {
            return None;
        }
        Some(self.queue(means, peers, now).wait_us)
    }

    /// leading tokens estimated to be cached, scaled by the accuracy of the estimate
    pub fn cached_tokens(&self, request: &Request<'_>) -> u32 {
        let tokens = request.block_tokens(self.cache.prefix_blocks(request.blocks));
        (f64::from(tokens) * self.cache.accuracy()) as u32
    }

    /// records that a request was sent
    pub fn record_send(&mut self, number: u64, request: &Request<'_>, tokens: u32, now: Instant) {
        self.sends.count(now);
        self.stated.record_send(now);
        self.backlog.record_send(number, tokens, now);
        self.cache.insert(request.blocks);
    }

    /// records that a request has ended
    pub fn record_end(&mut self, number: u64) {
        self.backlog.record_end(number);
    }
}
