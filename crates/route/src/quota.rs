//! A daemon's share of a workspace's limit.
//!
//! A limit holds over all daemons. Each spends from a bucket that is filled at its share
//! of the rate and holds its share of the burst. Shares follow the demand that daemons
//! tell each other; a part is split evenly, so that a daemon without demand so far can
//! start. A daemon that hears nothing keeps its last share, and the others go on counting
//! it, so that the shares of all never exceed the limit.
//!
//! Load pattern: one workspace sends many times its limit through a few daemons, while
//! the others' traffic is below theirs and must not be refused.

use std::time::Duration;

use tokio::time::Instant;

/// part of a limit that is split evenly between the daemons
const EVEN_PART: f64 = 0.2;

/// part of a full bucket that is enough for a request of any size; the bucket is then in
/// debt, which later requests wait for
const LARGE_PART: f64 = 0.9;

/// time constant of the measured demand
const DEMAND_TIME: Duration = Duration::from_secs(3);

/// a bucket of units, and the demand on it
#[derive(Debug, Clone)]
pub struct Quota {
    rate: f64,
    burst: f64,
    share: f64,
    left: f64,
    offered: f64,
    at: Instant,
}

impl Quota {
    /// a full bucket for a share of a limit in units per second
    pub fn new(rate: f64, burst: f64, share: f64, now: Instant) -> Quota {
        Quota {
            rate,
            burst,
            share,
            left: burst * share,
            offered: 0.0,
            at: now,
        }
    }

    /// takes in a changed limit; what is left in the bucket keeps its part
    pub fn configure(&mut self, rate: f64, burst: f64, now: Instant) {
        self.advance(now);
        if self.burst > 0.0 {
            self.left *= burst / self.burst;
        }
        self.rate = rate;
        self.burst = burst;
    }

    /// takes in the demand of all other daemons, and how many daemons there are in all
    pub fn divide(&mut self, others: f64, daemons: usize, now: Instant) {
        self.advance(now);
        let even = 1.0 / daemons.max(1) as f64;
        let all = self.offered + others;
        let by_demand = if all > 0.0 { self.offered / all } else { even };
        self.share = EVEN_PART * even + (1.0 - EVEN_PART) * by_demand;
        self.left = self.left.min(self.burst * self.share);
    }

    /// spends units
    ///
    /// # Errors
    /// The time until there are enough.
    pub fn spend(&mut self, units: f64, now: Instant) -> Result<(), Duration> {
        self.advance(now);
        self.offered += units / DEMAND_TIME.as_secs_f64();
        let needed = units.min(LARGE_PART * self.burst * self.share);
        if needed <= self.left {
            self.left -= units;
            return Ok(());
        }
        let missing = needed - self.left;
        let rate = (self.rate * self.share).max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX))
    }

    /// units asked for per second, refused ones included
    pub fn demand(&mut self, now: Instant) -> f64 {
        self.advance(now);
        self.offered
    }

    /// the part of the limit that this daemon may spend
    pub fn share(&self) -> f64 {
        self.share
    }

    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let filled = self.left + self.rate * self.share * passed;
        self.left = filled.min(self.burst * self.share);
        self.offered *= (-passed / DEMAND_TIME.as_secs_f64()).exp();
        self.at = self.at.max(now);
    }
}
