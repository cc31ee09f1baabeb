use std::time::Duration;

use macro_rules_attribute::apply;
use schema::message;
use tokio::time::Instant;

/// what one daemon has under way at a VM
///
/// Travels as a list of its fields, as messages hold one for each VM.
#[apply(message!)]
#[derive(Copy, Default)]
#[serde(from = "(u32, u64, u64)", into = "(u32, u64, u64)")]
pub struct Load {
    /// requests that were sent and have not ended
    pub running: u32,
    /// prompt tokens to be read before the requests' first tokens
    pub unread: u64,
    /// tokens that the requests hold in the KV cache, outputs included
    pub held: u64,
}

/// one request's part of a load
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Work {
    /// prompt tokens to be read
    pub unread: u32,
    /// tokens that it holds
    pub held: u32,
}

impl Load {
    /// adds another load
    pub fn add(&mut self, other: &Load) {
        self.running += other.running;
        self.unread += other.unread;
        self.held += other.held;
    }

    /// takes in a request that is sent
    pub fn begin(&mut self, work: &Work) {
        self.running += 1;
        self.unread += u64::from(work.unread);
        self.held += u64::from(work.held);
    }

    /// takes out the prompt of a request whose first token came
    pub fn read(&mut self, work: &Work) {
        self.unread = self.unread.saturating_sub(u64::from(work.unread));
    }

    /// takes out a request that ended
    pub fn end(&mut self, work: &Work) {
        self.running = self.running.saturating_sub(1);
        self.held = self.held.saturating_sub(u64::from(work.held));
    }
}

/// time constant of the measured rates
const RATE_TIME: Duration = Duration::from_secs(4);

/// work that callers bring to a service
///
/// Travels as tenths of requests and whole tokens.
#[apply(message!)]
#[derive(Copy, Default)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Rate {
    /// requests per second
    pub requests: f64,
    /// prompt tokens per second that have to be read
    pub unread: f64,
}

impl From<(u32, u64, u64)> for Load {
    fn from((running, unread, held): (u32, u64, u64)) -> Load {
        Load {
            running,
            unread,
            held,
        }
    }
}

impl From<Load> for (u32, u64, u64) {
    fn from(load: Load) -> (u32, u64, u64) {
        (load.running, load.unread, load.held)
    }
}

impl From<(u64, u64)> for Rate {
    fn from((tenths, unread): (u64, u64)) -> Rate {
        Rate {
            requests: tenths as f64 / 10.0,
            unread: unread as f64,
        }
    }
}

impl From<Rate> for (u64, u64) {
    fn from(rate: Rate) -> (u64, u64) {
        (
            (rate.requests * 10.0).round() as u64,
            rate.unread.round() as u64,
        )
    }
}

impl Rate {
    /// adds another rate
    pub fn add(&mut self, other: &Rate) {
        self.requests += other.requests;
        self.unread += other.unread;
    }
}

/// a rate that decays with time
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Meter {
    rate: Rate,
    at: Option<Instant>,
}

impl Meter {
    /// counts a request
    pub fn count(&mut self, unread: u32, now: Instant) {
        self.read(now);
        self.rate.requests += 1.0 / RATE_TIME.as_secs_f64();
        self.rate.unread += f64::from(unread) / RATE_TIME.as_secs_f64();
    }

    /// the rate now
    pub fn read(&mut self, now: Instant) -> Rate {
        let since = self.at.unwrap_or(now);
        let passed = now.saturating_duration_since(since).as_secs_f64();
        let factor = (-passed / RATE_TIME.as_secs_f64()).exp();
        self.rate.requests *= factor;
        self.rate.unread *= factor;
        self.at = Some(since.max(now));
        self.rate
    }
}
