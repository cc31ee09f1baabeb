//! Prompts that make up much of the traffic.
//!
//! Load pattern: a third of the most valuable requests begin with the same part, at 74 daemons. Each of them
//! sends to the VM that holds it, and none knows of the others' requests for a second. So the requests that
//! the others are likely to have sent are derived from this daemon's own: a part that it has seen
//! lately besides this request is one of many requests, as most parts are rarely seen twice.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// time constant of the counts
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// number of parts from which those that are no longer seen are removed
const MAX_PARTS: usize = 2048;

/// count below which a part is removed
const LEAST_COUNT: f64 = 0.05;

/// requests of this daemon by the last shared part of their prompts
#[derive(Debug, Clone, Default)]
pub(super) struct Popularity {
    parts: HashMap<u64, (f64, Instant)>,
}

impl Popularity {
    /// counts a request
    pub fn count(&mut self, part: u64, now: Instant) {
        let before = self.current(part, now);
        self.parts.insert(part, (before + 1.0, now));
        if self.parts.len() > MAX_PARTS {
            self.parts
                .retain(|_, counted| faded(counted, now) >= LEAST_COUNT);
        }
    }

    /// requests with a part that a number of daemons like this one have sent within a time
    pub fn requests(&self, part: u64, daemons: u32, time: Duration, now: Instant) -> f64 {
        let rate = self.current(part, now) / TIME_CONSTANT.as_secs_f64();
        rate * f64::from(daemons) * time.as_secs_f64()
    }

    fn current(&self, part: u64, now: Instant) -> f64 {
        self.parts
            .get(&part)
            .map_or(0.0, |counted| faded(counted, now))
    }
}

fn faded((count, at): &(f64, Instant), now: Instant) -> f64 {
    let passed = now.saturating_duration_since(*at).as_secs_f64();
    count * (-passed / TIME_CONSTANT.as_secs_f64()).exp()
}
