use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// part of the allowance that is used: daemons' windows do not begin together
const USED_PART: f64 = 0.8;

/// how many repeats are allowed over all daemons
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// repeats for each request
    pub ratio: f64,
    /// length of the window in which both are counted
    pub window: Duration,
    /// repeats in a window besides
    pub burst: f64,
}

/// repeats of one service on one daemon, counted over a sliding window
///
/// Bounded against the load of requests that fail all at once: without it a service
/// that is down gets each request as often as the route allows.
#[derive(Debug, Clone)]
pub struct Allowance {
    terms: Terms,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl Allowance {
    /// an allowance of which nothing is spent
    pub fn new(terms: Terms) -> Allowance {
        Allowance {
            terms,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// counts a request
    pub fn earn(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// takes a repeat, if there is one left among so many daemons
    pub fn take(&mut self, daemons: usize, now: Instant) -> bool {
        self.expire(now);
        let burst = self.terms.burst / daemons.max(1) as f64;
        let most = (self.requests.len() as f64 * self.terms.ratio + burst) * USED_PART;
        if (self.repeats.len() + 1) as f64 > most {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn expire(&mut self, now: Instant) {
        let window = self.terms.window;
        let expired = |at: &Instant| now.saturating_duration_since(*at) > window;
        while self.requests.front().is_some_and(expired) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(expired) {
            self.repeats.pop_front();
        }
    }
}
