use std::time::Duration;

use macro_rules_attribute::apply;
use schema::message;
use tokio::time::Instant;

/// requests that one daemon has in flight at a VM
///
/// Serialised as a tuple to save bytes: messages hold one for each VM.
#[apply(message!)]
#[derive(Copy, Default)]
#[serde(from = "(u32, u64, u64)", into = "(u32, u64, u64)")]
pub struct Load {
    /// requests in flight
    pub running: u32,
    /// prompt tokens still to be prefilled
    pub prefill_tokens: u64,
    /// tokens held in the KV cache, output included
    pub held: u64,
}

/// contribution of one request to a load
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Work {
    /// prompt tokens to be prefilled
    pub prefill_tokens: u32,
    /// tokens that it holds in the KV cache
    pub held: u32,
}

/// largest number of requests and of tokens that is believed of the requests that the daemons have
/// sent to a VM
const MAX_RUNNING: u32 = 1_000_000;
const MAX_TOKENS: u64 = 1_000_000_000_000;

impl Load {
    /// the load, no larger than any VM can have: a peer may have stated it wrongly
    pub fn bounded(self) -> Load {
        Load {
            running: self.running.min(MAX_RUNNING),
            prefill_tokens: self.prefill_tokens.min(MAX_TOKENS),
            held: self.held.min(MAX_TOKENS),
        }
    }

    /// adds another load, which a peer may have stated wrongly
    pub fn add(&mut self, other: &Load) {
        self.running = self.running.saturating_add(other.running);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.held = self.held.saturating_add(other.held);
    }

    /// the part of each of several VMs
    pub(super) fn divided(self, vms: usize) -> Load {
        let vms = vms.max(1) as u64;
        Load {
            running: u32::try_from(u64::from(self.running) / vms).unwrap_or(u32::MAX),
            prefill_tokens: self.prefill_tokens / vms,
            held: self.held / vms,
        }
    }

    /// adds a request that is sent
    pub fn begin(&mut self, work: &Work) {
        self.running += 1;
        self.prefill_tokens += u64::from(work.prefill_tokens);
        self.held += u64::from(work.held);
    }

    /// removes the prefill of a request whose first token was received
    pub fn finish_prefill(&mut self, work: &Work) {
        self.prefill_tokens = self
            .prefill_tokens
            .saturating_sub(u64::from(work.prefill_tokens));
    }

    /// removes a request that ended
    pub fn end(&mut self, work: &Work) {
        self.running = self.running.saturating_sub(1);
        self.held = self.held.saturating_sub(u64::from(work.held));
    }
}

/// time constant of the measured rates
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// demand of callers for a service
///
/// Serialised as tenths of requests and whole tokens.
#[apply(message!)]
#[derive(Copy, Default)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Rate {
    /// requests per second
    pub requests: f64,
    /// prompt tokens per second that have to be prefilled
    pub prefill_tokens: f64,
}

impl From<(u32, u64, u64)> for Load {
    fn from((running, prefill_tokens, held): (u32, u64, u64)) -> Load {
        Load {
            running,
            prefill_tokens,
            held,
        }
    }
}

impl From<Load> for (u32, u64, u64) {
    fn from(load: Load) -> (u32, u64, u64) {
        (load.running, load.prefill_tokens, load.held)
    }
}

impl From<(u64, u64)> for Rate {
    fn from((tenths, prefill_tokens): (u64, u64)) -> Rate {
        Rate {
            requests: tenths as f64 / 10.0,
            prefill_tokens: prefill_tokens as f64,
        }
    }
}

impl From<Rate> for (u64, u64) {
    fn from(rate: Rate) -> (u64, u64) {
        (
            (rate.requests * 10.0).round() as u64,
            rate.prefill_tokens.round() as u64,
        )
    }
}

/// largest demand that is believed of the peers
const MAX_REQUESTS_PER_S: f64 = 1e6;
const MAX_TOKENS_PER_S: f64 = 1e12;

impl Rate {
    /// the demand, no larger than any deployment can have: a peer may have stated it wrongly
    pub fn bounded(self) -> Rate {
        Rate {
            requests: self.requests.min(MAX_REQUESTS_PER_S),
            prefill_tokens: self.prefill_tokens.min(MAX_TOKENS_PER_S),
        }
    }

    /// adds another rate
    pub fn add(&mut self, other: &Rate) {
        self.requests += other.requests;
        self.prefill_tokens += other.prefill_tokens;
    }
}

/// exponentially decaying measurement of a rate
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Meter {
    rate: Rate,
    updated_at: Option<Instant>,
}

impl Meter {
    /// counts a request
    pub fn count(&mut self, prefill_tokens: u32, now: Instant) {
        self.current(now);
        self.rate.requests += 1.0 / RATE_TIME_CONSTANT.as_secs_f64();
        self.rate.prefill_tokens += f64::from(prefill_tokens) / RATE_TIME_CONSTANT.as_secs_f64();
    }

    /// returns the current rate
    pub fn current(&mut self, now: Instant) -> Rate {
        let since = self.updated_at.unwrap_or(now);
        let passed = now.saturating_duration_since(since).as_secs_f64();
        let factor = (-passed / RATE_TIME_CONSTANT.as_secs_f64()).exp();
        self.rate.requests *= factor;
        self.rate.prefill_tokens *= factor;
        self.updated_at = Some(since.max(now));
        self.rate
    }
}
