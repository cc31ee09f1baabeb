//! A daemon's share of a workspace's limit.
//!
//! A limit applies to all daemons together, and each of them sees only some of the traffic.
//! Every daemon tracks the level of one token bucket that stands for all of them: refilled
//! at the limit's rate, drained by its own spending and by the spending that its peers
//! report. Between two reports it may spend its share of that level, in proportion to its
//! demand. A fixed fraction is split evenly, so that a daemon without demand so far can
//! start. A workspace below its limit is thus refused nowhere, however unevenly its callers
//! are distributed, and one above its limit is held to it by all daemons together. Until
//! their next report, peers are assumed to spend at the rate of the previous interval.
//! Peers that stop reporting are assumed to keep spending at the demand they last reported.
//!
//! Load patterns: one workspace sends many times its limit through a few daemons, while the
//! other workspaces stay below their limits and must not be refused; a small workspace sends
//! a large request to a daemon that rarely sees it.

use std::time::Duration;

use tokio::time::Instant;

/// fraction of the level that is split evenly between the daemons
const EVEN_FRACTION: f64 = 0.4;

/// fraction of this daemon's share of the burst that suffices for a request of any size; the
/// level may then go below zero, and later requests wait until it has recovered
const LARGE_REQUEST_FRACTION: f64 = 0.4;

/// fraction of a full bucket above which small requests are admitted without regard to the share
const AMPLE_LEVEL_FRACTION: f64 = 0.5;

/// largest size of a small request, as a fraction of the level
const SMALL_REQUEST_FRACTION: f64 = 0.02;

/// time constant of the measured demand
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// shortest retry delay: a fraction of the interval between two peer reports
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// a limit over all daemons, in units per second
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// units per second
    pub rate: f64,
    /// units that may be spent at once
    pub burst: f64,
}

/// spending and demand reported by the peers
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PeerSpending {
    /// units spent since the last report
    pub spent: f64,
    /// units requested per second
    pub demand: f64,
    /// number of daemons, this one included
    pub daemons: usize,
    /// whether some of the peers have not reported yet
    pub is_partial: bool,
}

/// level of a limit's bucket, and this daemon's share of it
#[derive(Debug, Clone)]
pub struct Quota {
    limit: Limit,
    level: f64,
    budget: f64,
    share: f64,
    spent: f64,
    offered: f64,
    peer_rate: f64,
    assumed_peer_spent: f64,
    peers_updated_at: Instant,
    updated_at: Instant,
}

impl Quota {
    /// returns a bucket at a level, of which a share may be spent until the first peer report
    pub fn new(limit: Limit, level: f64, share: f64, now: Instant) -> Quota {
        Quota {
            limit,
            level,
            budget: level * share,
            share,
            spent: 0.0,
            offered: 0.0,
            peer_rate: 0.0,
            assumed_peer_spent: 0.0,
            peers_updated_at: now,
            updated_at: now,
        }
    }

    /// applies a changed limit; on a smaller burst, the level is scaled down in proportion
    pub fn configure(&mut self, limit: Limit, now: Instant) {
        self.advance(now);
        if self.limit.burst > 0.0 && limit.burst < self.limit.burst {
            let ratio = limit.burst / self.limit.burst;
            self.level *= ratio;
            self.budget *= ratio;
        }
        self.limit = limit;
    }

    /// applies the spending of the peers, and recomputes this daemon's share of the level
    pub fn apply_peers(&mut self, peers: &PeerSpending, now: Instant) {
        self.advance(now);
        self.level += std::mem::take(&mut self.assumed_peer_spent) - peers.spent;
        let passed = now
            .saturating_duration_since(self.peers_updated_at)
            .as_secs_f64();
        if passed > 0.0 {
            self.peer_rate = peers.spent / passed;
            self.peers_updated_at = now;
        }
        let even = 1.0 / peers.daemons.max(1) as f64;
        let all = self.offered + peers.demand;
        let is_known = all > 0.0 && !peers.is_partial;
        let by_demand = if is_known { self.offered / all } else { even };
        self.share = EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * by_demand;
        self.budget = self.level * self.share;
    }

    /// spends units
    ///
    /// # Errors
    /// Returns the time until enough units are available.
    pub fn spend(&mut self, units: f64, now: Instant) -> Result<(), Duration> {
        self.advance(now);
        self.offered += units / DEMAND_TIME_CONSTANT.as_secs_f64();
        let largest_needed = LARGE_REQUEST_FRACTION * self.limit.burst * self.share;
        let needed = units.min(largest_needed);
        let is_ample = self.level > AMPLE_LEVEL_FRACTION * self.limit.burst;
        let is_small = is_ample && units <= SMALL_REQUEST_FRACTION * self.level;
        if needed <= self.budget || is_small {
            self.budget -= units;
            self.level -= units;
            self.spent += units;
            return Ok(());
        }
        let missing = needed - self.budget;
        let rate = (self.limit.rate * self.share).max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX);
        Err(wait.max(MIN_RETRY_AFTER))
    }

    /// units requested per second, refused ones included
    pub fn demand(&mut self, now: Instant) -> f64 {
        self.advance(now);
        self.offered
    }

    /// units spent since the start
    pub fn spent(&self) -> f64 {
        self.spent
    }

    /// estimated units left over all daemons
    pub fn level(&self) -> f64 {
        self.level
    }

    /// fraction of the limit that this daemon may spend
    pub fn share(&self) -> f64 {
        self.share
    }

    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let filled = self.limit.rate * passed;
        let assumed = self.peer_rate * passed;
        self.assumed_peer_spent += assumed;
        self.level = (self.level + filled - assumed).min(self.limit.burst);
        let full = self.limit.burst * self.share;
        self.budget = (self.budget + filled * self.share).min(full);
        self.offered *= (-passed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.updated_at = self.updated_at.max(now);
    }
}
