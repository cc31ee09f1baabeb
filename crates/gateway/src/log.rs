//! Bounds on the volume of the log.
//!
//! Each kind of line has a rate of its own. What is left out is counted, and the count
//! stands in the next line of that kind, so that a reader knows what is missing.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// lines of one kind per second
const LINES_PER_SECOND: f64 = 20.0;

/// lines of one kind that may come at once
const LINES_AT_ONCE: f64 = 100.0;

/// lines that are left of each kind
#[derive(Debug)]
pub struct Sampler {
    kinds: HashMap<&'static str, Kind>,
    start: Instant,
}

#[derive(Debug)]
struct Kind {
    left: f64,
    at: Instant,
    dropped: u64,
}

impl Sampler {
    /// a sampler that has let through nothing yet
    pub fn new(now: Instant) -> Sampler {
        Sampler {
            kinds: HashMap::new(),
            start: now,
        }
    }

    /// whether a line may be written; then the number of lines left out before it
    pub fn permit(&mut self, kind: &'static str, now: Instant) -> Option<u64> {
        let start = self.start;
        let state = self.kinds.entry(kind).or_insert(Kind {
            left: LINES_AT_ONCE,
            at: start,
            dropped: 0,
        });
        let passed: Duration = now.saturating_duration_since(state.at);
        let filled = state.left + passed.as_secs_f64() * LINES_PER_SECOND;
        state.left = filled.min(LINES_AT_ONCE);
        state.at = now;
        if state.left < 1.0 {
            state.dropped += 1;
            return None;
        }
        state.left -= 1.0;
        Some(std::mem::take(&mut state.dropped))
    }
}
