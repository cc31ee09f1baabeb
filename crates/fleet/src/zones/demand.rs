use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// concurrent streams that an engine runs without a marked slow-down of each
const STREAMS_PER_ENGINE: f64 = 16.0;

/// time for which a peak of the demand is kept, since orders take seconds to take effect and
/// traffic comes in bursts
const PEAK_RETENTION: Duration = Duration::from_secs(20);

/// times of a service's engines
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// prefill rate of an engine that runs no stream, tokens a second
    pub prefill_tokens_per_s: f64,
    /// duration of a stream on an engine that is not saturated, seconds
    pub stream_s: f64,
}

impl Default for Timing {
    /// the times assumed until those of a service's engines are learned
    fn default() -> Timing {
        Timing {
            prefill_tokens_per_s: 50_000.0,
            stream_s: 1.0,
        }
    }
}

/// demand for a service's engines
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// prompt tokens to prefill per second, those in the KV cache not counted
    pub prefill_tokens: f64,
    /// streams that begin per second; the number of running streams would rise with slow engines
    pub streams: f64,
}

impl Demand {
    /// VMs that serve this demand at a utilisation of their capacity, above 0 and at most 1
    pub fn vms(&self, timing: &Timing, utilisation: f64) -> f64 {
        (self.prefill_tokens / timing.prefill_tokens_per_s
            + self.streams * timing.stream_s / STREAMS_PER_ENGINE)
            / utilisation
    }
}

/// sliding maximum of the demand, in VMs
#[derive(Debug, Clone, Default)]
pub struct Peak {
    samples: VecDeque<(Instant, f64)>,
}

impl Peak {
    /// an empty window
    pub fn new() -> Peak {
        Peak::default()
    }

    /// records the current demand and returns the peak
    pub fn record(&mut self, vms: f64, now: Instant) -> f64 {
        while self.samples.back().is_some_and(|(_, lower)| *lower <= vms) {
            self.samples.pop_back();
        }
        self.samples.push_back((now, vms));
        while self
            .samples
            .front()
            .is_some_and(|(at, _)| now > *at + PEAK_RETENTION)
        {
            self.samples.pop_front();
        }
        self.samples.front().map_or(vms, |(_, peak)| *peak)
    }
}
