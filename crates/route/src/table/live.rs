//! What a daemon knows of one VM.

use tokio::time::Instant;

use super::Ask;
use super::backlog::{Backlog, Queue};
use super::belief::Belief;
use super::rate::Rate;
use super::stats::Means;
use crate::retry::Breaker;

/// own sends per second at which they count as much as the service's mean
const SENDS_EVIDENCE: f64 = 0.2;

/// the state of one VM
#[derive(Debug)]
pub(super) struct Live {
    /// its queue
    pub backlog: Backlog,
    /// its prefix cache
    pub belief: Belief,
    /// whether it is let work
    pub breaker: Breaker,
    /// own sends
    pub sends: Rate,
}

/// how a VM looks for one request
#[derive(Debug, Clone, Copy)]
pub(super) struct Look {
    /// its queue
    pub queue: Queue,
    /// own requests in flight
    pub in_flight: u32,
    /// leading tokens believed cached by what this daemon knows
    pub known_tokens: u32,
    /// tokens that would be prefilled
    pub prefill_tokens: u32,
}

/// what other daemons are assumed to do
#[derive(Debug, Clone, Copy)]
pub(super) struct Others {
    /// number of other daemons
    pub daemons: f64,
    /// own sends to a VM of the service on average, per second
    pub mean_sends: f64,
}

impl Live {
    /// returns the state of a VM nothing is known of
    pub fn new(slots: u32) -> Live {
        Live {
            backlog: Backlog::new(slots),
            belief: Belief::new(),
            breaker: Breaker::new(),
            sends: Rate::default(),
        }
    }

    /// estimates the queue, with sends of other daemons taken to be like own ones
    pub fn queue(&self, means: &Means, others: &Others, now: Instant) -> Queue {
        let own = self.sends.per_second(now);
        let weight = own / (own + SENDS_EVIDENCE);
        let alike = weight * own + (1.0 - weight) * others.mean_sends;
        self.backlog.queue(means, others.daemons * alike, now)
    }

    /// estimates the wait, microseconds; none if the breaker is open
    pub fn wait_us(&self, means: &Means, others: &Others, now: Instant) -> Option<f64> {
        if !self.breaker.permits(now) {
            return None;
        }
        Some(self.queue(means, others, now).wait_us)
    }

    /// returns the leading tokens believed cached, by the trust in the belief
    pub fn cached_tokens(&self, ask: &Ask<'_>) -> u32 {
        let tokens = ask.block_tokens(self.belief.depth(ask.blocks));
        (f64::from(tokens) * self.belief.trust()) as u32
    }

    /// records a send
    pub fn send(&mut self, number: u64, ask: &Ask<'_>, tokens: u32, now: Instant) {
        self.sends.count(now);
        self.backlog.send(number, tokens, now);
        self.belief.store(ask.blocks);
    }

    /// records that a request has ended
    pub fn end(&mut self, number: u64) {
        self.backlog.end(number);
    }
}
