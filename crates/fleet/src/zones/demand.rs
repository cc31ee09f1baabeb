use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// prompt tokens that an engine reads in a second while it does nothing else
const READ_TOKENS_PER_SECOND: f64 = 50_000.0;

/// streams that an engine runs at once without slowing each of them much
const STREAMS: f64 = 16.0;

/// time that a stream runs at an engine that is not full, seconds
const STREAM_SECONDS: f64 = 1.0;

/// time for which a peak of the demand is held: orders take seconds to take effect, and
/// callers' traffic moves in waves
const HOLD: Duration = Duration::from_secs(20);

/// what callers ask of a service's engines
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// prompt tokens per second that have to be read
    pub unread: f64,
    /// streams that begin per second; those that run would count a slow engine as demand
    pub streams: f64,
}

impl Demand {
    /// VMs that this demand would fill to a part of their capacity
    pub fn vms(&self, fill: f64) -> f64 {
        (self.unread / READ_TOKENS_PER_SECOND + self.streams * STREAM_SECONDS / STREAMS) / fill
    }
}

/// the highest demand of the last while, in VMs
#[derive(Debug, Clone, Default)]
pub struct Peak {
    seen: VecDeque<(Instant, f64)>,
}

impl Peak {
    /// nothing seen yet
    pub fn new() -> Peak {
        Peak::default()
    }

    /// takes in the demand now and returns the peak
    pub fn see(&mut self, vms: f64, now: Instant) -> f64 {
        while self.seen.back().is_some_and(|(_, lower)| *lower <= vms) {
            self.seen.pop_back();
        }
        self.seen.push_back((now, vms));
        while self.seen.front().is_some_and(|(at, _)| now > *at + HOLD) {
            self.seen.pop_front();
        }
        self.seen.front().map_or(vms, |(_, peak)| *peak)
    }
}
