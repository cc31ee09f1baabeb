//! Backoff for pools that recently refused a start or reclaimed VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use macro_rules_attribute::apply;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use schema::cloud::Market;
use tokio::time::Instant;

use crate::view::Pool;

/// backoff after the first refused start
const INITIAL_BACKOFF: Duration = Duration::from_secs(20);

/// maximum backoff after refused starts
const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// backoff after a reclaim, which shows that the zone is short of machines
const RECLAIM_BACKOFF: Duration = Duration::from_secs(60);

/// time after the end of a backoff until the next refusal counts as the first again
const RESET_AFTER: Duration = Duration::from_secs(1800);

/// machines that a refusal applies to, whichever upstream they are for
#[apply(schema::key!)]
struct PoolKey {
    zone: String,
    class: String,
    market: Market,
}

/// backoff of one pool
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Instant,
    retries: u32,
}

/// backoffs of all pools
#[derive(Debug, Clone)]
pub(super) struct Backoffs {
    backoffs: BTreeMap<PoolKey, Backoff>,
    random: SmallRng,
}

impl Backoffs {
    pub(super) fn new(seed: u64) -> Self {
        Backoffs {
            backoffs: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// records a refused start; further ones during the backoff are ignored
    pub(super) fn record_refusal(&mut self, pool: &Pool, now: Instant) {
        let key = key(&pool.zone, &pool.class, pool.market);
        let retries = match self.backoffs.get(&key) {
            Some(backoff) if backoff.until > now => return,
            Some(backoff) => backoff.retries + 1,
            None => 0,
        };
        let wait = INITIAL_BACKOFF
            .saturating_mul(1 << retries.min(8))
            .min(MAX_BACKOFF);
        let until = now + self.jittered(wait);
        self.backoffs.insert(key, Backoff { until, retries });
    }

    /// records a reclaimed VM of a zone
    pub(super) fn record_reclaim(&mut self, zone: &str, class: &str, now: Instant) {
        let until = now + self.jittered(RECLAIM_BACKOFF);
        let key = key(zone, class, Market::Reclaimable);
        let backoff = self
            .backoffs
            .entry(key)
            .or_insert(Backoff { until, retries: 0 });
        backoff.until = backoff.until.max(until);
    }

    /// records an accepted start, which ends the series of refusals
    pub(super) fn record_start(&mut self, pool: &Pool, now: Instant) {
        let key = key(&pool.zone, &pool.class, pool.market);
        if self
            .backoffs
            .get(&key)
            .is_some_and(|backoff| backoff.until <= now)
        {
            self.backoffs.remove(&key);
        }
    }

    /// whether no VM may be started in a pool now
    pub(super) fn is_in_backoff(&self, pool: &Pool, now: Instant) -> bool {
        let key = key(&pool.zone, &pool.class, pool.market);
        self.backoffs
            .get(&key)
            .is_some_and(|backoff| backoff.until > now)
    }

    /// drops backoffs that ended longer ago than the reset time
    pub(super) fn expire(&mut self, now: Instant) {
        self.backoffs
            .retain(|_, backoff| backoff.until + RESET_AFTER > now);
    }

    /// the wait, randomised by plus or minus a quarter
    fn jittered(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(self.random.random_range(0.75..1.25))
    }
}

fn key(zone: &str, class: &str, market: Market) -> PoolKey {
    PoolKey {
        zone: zone.to_owned(),
        class: class.to_owned(),
        market,
    }
}
