//! The naive policy with which the decision is compared.

use super::outcome::{BAD_BEFORE_STOP, Outcome};
use super::service::{Response, Sent};

/// own bad responses after which a daemon with the naive policy stops
const NAIVE_LIMIT: u32 = 3;

/// a threshold on one daemon's own count, with the shares of a roll-out that is not stopped
pub struct Naive {
    /// bad responses of each daemon: times
    bad_ms: Vec<Vec<u64>>,
    sent_ms: Vec<u64>,
    ends_ms: Vec<u64>,
}

impl Naive {
    pub fn new(daemons: usize) -> Naive {
        Naive {
            bad_ms: vec![Vec::new(); daemons],
            sent_ms: Vec::new(),
            ends_ms: Vec::new(),
        }
    }

    pub fn is_running(&self, daemon: usize, now_ms: u64) -> bool {
        let known = self.bad_ms[daemon].iter().filter(|at_ms| **at_ms <= now_ms);
        known.count() < NAIVE_LIMIT as usize
    }

    /// counts errors, breaks and times of three times the expected one
    pub fn record(&mut self, sent: &Sent, response: Option<(Response, bool)>) {
        self.sent_ms.push(sent.at_ms);
        let Some((response, is_bad)) = response else {
            self.bad_ms[sent.daemon].push(sent.at_ms);
            return;
        };
        if response.is_failed || response.ratio >= 3.0 {
            self.bad_ms[sent.daemon].push(response.end_ms);
        }
        if is_bad {
            self.ends_ms.push(response.end_ms);
        }
    }

    pub fn finish(mut self, outcome: &mut Outcome) {
        self.ends_ms.sort_unstable();
        let last = self.sent_ms.iter().max().copied().unwrap_or(0);
        let at_ms = self.ends_ms.get(BAD_BEFORE_STOP - 1);
        outcome.naive_late_ms = at_ms.map_or(0, |at_ms| last.saturating_sub(*at_ms));
        outcome.naive_exposed = self.sent_ms.len() as u64;
        let daemons = 0..self.bad_ms.len();
        outcome.naive_stopped = daemons
            .filter(|daemon| !self.is_running(*daemon, u64::MAX))
            .count();
    }
}

/// canary, then all requests for the last third
pub fn share(now_ms: u64, duration_ms: u64) -> f64 {
    if now_ms < duration_ms * 2 / 3 {
        0.07
    } else {
        1.0
    }
}
