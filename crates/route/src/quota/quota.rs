use std::time::Duration;

use tokio::time::Instant;

use super::{
    LARGE_REQUEST_FRACTION, Limit, MIN_RETRY_AFTER, PeerSpending, RESERVED_FRACTION, Refusal,
    Timeliness,
};

/// fraction of the level that is split evenly between the daemons
const EVEN_FRACTION: f64 = 0.4;

/// fraction of a full bucket above which small requests are admitted without regard to the share
const AMPLE_LEVEL_FRACTION: f64 = 0.5;

/// largest size of a small request, as a fraction of the level
const SMALL_REQUEST_FRACTION: f64 = 0.02;

/// time constant of the measured demand
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// level of a limit's bucket, and this daemon's share of it
#[derive(Debug, Clone)]
pub struct Quota {
    limit: Limit,
    level: f64,
    budget: f64,
    share: f64,
    spent: f64,
    /// units of requests that did not run, by which the next spending is reduced in the total
    refunded: f64,
    offered: f64,
    peer_rate: f64,
    assumed_peer_spent: f64,
    peers_updated_at: Instant,
    updated_at: Instant,
    /// last refusals of the limit's owner, of requests that could be in time and of late ones
    refusal: Option<Refusal>,
    late_refusal: Option<Refusal>,
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
            refunded: 0.0,
            offered: 0.0,
            peer_rate: 0.0,
            assumed_peer_spent: 0.0,
            peers_updated_at: now,
            updated_at: now,
            refusal: None,
            late_refusal: None,
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
        if limit != self.limit {
            self.refusal = None;
            self.late_refusal = None;
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
    pub fn spend(
        &mut self,
        units: f64,
        timeliness: Timeliness,
        now: Instant,
    ) -> Result<(), Duration> {
        self.offer(units, now);
        let own_burst = self.limit.burst * self.share;
        let needed = units.min(LARGE_REQUEST_FRACTION * own_burst);
        let needed = match timeliness {
            Timeliness::InTime => needed,
            Timeliness::Late => needed + RESERVED_FRACTION * own_burst,
        };
        let is_ample = self.level > AMPLE_LEVEL_FRACTION * self.limit.burst;
        let is_small = is_ample && units <= SMALL_REQUEST_FRACTION * self.level;
        if needed <= self.budget || is_small {
            self.deduct(units);
            return Ok(());
        }
        let missing = needed - self.budget;
        let rate = (self.limit.rate * self.share).max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX);
        Err(wait.max(MIN_RETRY_AFTER))
    }

    /// records units that the limit's owner granted
    pub fn record_spent(&mut self, units: f64, now: Instant) {
        self.offer(units, now);
        self.deduct(units);
    }

    /// gives back the units of a request that did not run
    pub fn refund(&mut self, units: f64, now: Instant) {
        self.advance(now);
        self.level = (self.level + units).min(self.limit.burst);
        self.budget = (self.budget + units).min(self.limit.burst * self.share);
        self.refunded += units;
    }

    /// records units that the limit's owner refused for a time
    pub fn record_refused(
        &mut self,
        (units, timeliness): (f64, Timeliness),
        wait: Duration,
        daemons: usize,
        now: Instant,
    ) {
        self.offer(units, now);
        let refusal = Some(Refusal::new(units, wait, daemons, now));
        match timeliness {
            Timeliness::InTime => self.refusal = refusal,
            Timeliness::Late => self.late_refusal = refusal,
        }
    }

    /// the wait of a request that the owner need not be asked about, as it has just refused another
    /// one that is not larger, and in time if this one is
    pub fn known_refusal(
        &mut self,
        units: f64,
        timeliness: Timeliness,
        now: Instant,
    ) -> Option<Duration> {
        let late = self.late_refusal.as_mut();
        let late = late.filter(|_| timeliness == Timeliness::Late);
        let mut refusals = late.into_iter().chain(&mut self.refusal);
        let wait = refusals.find_map(|refusal| refusal.apply(units, self.limit.rate, now))?;
        self.offer(units, now);
        Some(wait)
    }

    /// units refused since the owner was asked last, of which it is told with the next request
    pub fn take_backlog(&mut self) -> f64 {
        let refusals = [self.refusal.take(), self.late_refusal.take()];
        let backlogs = refusals.iter().flatten().map(Refusal::backlog);
        backlogs.sum()
    }

    /// the limit over all daemons
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// units requested per second, refused ones included
    pub fn demand(&mut self, now: Instant) -> f64 {
        self.advance(now);
        self.offered
    }

    /// units spent since the start; never decreases
    pub fn spent(&self) -> f64 {
        self.spent
    }

    /// estimated units left over all daemons
    pub fn level(&self) -> f64 {
        self.level
    }

    /// units that peers are assumed to have spent since their last reports
    pub fn assumed_peer_spent(&self) -> f64 {
        self.assumed_peer_spent
    }

    /// fraction of the limit that this daemon may spend
    pub fn share(&self) -> f64 {
        self.share
    }

    fn offer(&mut self, units: f64, now: Instant) {
        self.advance(now);
        self.offered += units / DEMAND_TIME_CONSTANT.as_secs_f64();
    }

    fn deduct(&mut self, units: f64) {
        self.budget -= units;
        self.level -= units;
        let reported = units.min(self.refunded);
        self.refunded -= reported;
        self.spent += units - reported;
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
