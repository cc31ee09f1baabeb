//! What a daemon knows of one VM.

use tokio::time::Instant;

use super::Ask;
use super::backlog::{Backlog, Queue};
use super::belief::Belief;
use super::rate::Rate;
use super::stats::Means;
use crate::retry::Breaker;

/// the state of one VM
#[derive(Debug)]
pub(super) struct Live {
    /// its queue
    pub backlog: Backlog,
    /// its prefix cache
    pub belief: Belief,
    /// whether it is let work
    pub breaker: Breaker,
    /// own requests that have not ended
    pub in_flight: u32,
    /// own sends
    pub sends: Rate,
}

/// how a VM looks for one request
#[derive(Debug, Clone, Copy)]
pub(super) struct Look {
    /// its queue
    pub queue: Queue,
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
            in_flight: 0,
            sends: Rate::default(),
        }
    }

    /// estimates the queue, with sends of other daemons taken to be like own ones
    pub fn queue(&self, means: &Means, others: &Others, now: Instant) -> Queue {
        let own = self.sends.per_second(now);
        let alike = (own + others.mean_sends) / 2.0;
        self.backlog.queue(means, others.daemons * alike, now)
    }

    /// returns the leading tokens believed cached, by the trust in the belief
    pub fn cached_tokens(&self, ask: &Ask<'_>) -> u32 {
        let tokens = ask.block_tokens(self.belief.depth(ask.blocks));
        (f64::from(tokens) * self.belief.trust()) as u32
    }

    /// records a send
    pub fn send(&mut self, number: u64, ask: &Ask<'_>, tokens: u32, now: Instant) {
        self.in_flight += 1;
        self.sends.count(now);
        self.backlog.send(number, tokens, now);
        self.belief.store(ask.blocks);
    }

    /// records that a request has ended
    pub fn end(&mut self, number: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.backlog.end(number);
    }
}
