//! A limit on the repeats of one service over all daemons.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// fraction of the limit that is used, since the daemons' windows are not aligned
const USED_FRACTION: f64 = 0.8;

/// limit on the repeats of one service, summed over all daemons
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatLimit {
    /// repeats allowed per request
    pub ratio: f64,
    /// length of the sliding window in which requests and repeats are counted
    pub window: Duration,
    /// repeats allowed per window in addition, shared by all daemons
    pub burst: f64,
}

/// repeats of one service on one daemon, counted over a sliding window
///
/// Prevents retry storms: without it, each request to a service that is down would be sent
/// as often as its route allows.
#[derive(Debug, Clone)]
pub struct Allowance {
    limit: RepeatLimit,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl Allowance {
    /// creates an allowance without counted requests or repeats
    pub fn new(limit: RepeatLimit) -> Allowance {
        Allowance {
            limit,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// counts a request
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// counts a repeat and returns true if this daemon's share of the limit allows one
    pub fn try_take(&mut self, daemons: usize, now: Instant) -> bool {
        self.expire(now);
        let burst = self.limit.burst / daemons.max(1) as f64;
        let allowed = (self.requests.len() as f64 * self.limit.ratio + burst) * USED_FRACTION;
        if (self.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn expire(&mut self, now: Instant) {
        let window = self.limit.window;
        let expired = |at: &Instant| now.saturating_duration_since(*at) > window;
        while self.requests.front().is_some_and(expired) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(expired) {
            self.repeats.pop_front();
        }
    }
}
