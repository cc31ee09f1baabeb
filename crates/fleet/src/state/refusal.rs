//! Places that refused starts or reclaimed VMs lately.

use std::collections::BTreeMap;
use std::time::Duration;

use macro_rules_attribute::apply;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use schema::cloud::Market;
use tokio::time::Instant;

use crate::view::Place;

/// first wait after a refused start
const FIRST_WAIT: Duration = Duration::from_secs(20);

/// longest wait after refused starts
const LONGEST_WAIT: Duration = Duration::from_secs(600);

/// wait after a reclaim, for the zone is short of machines
const RECLAIM_WAIT: Duration = Duration::from_secs(60);

/// time without a refusal after which waits begin anew
const FORGET: Duration = Duration::from_secs(1800);

/// what a refusal concerns
#[apply(schema::key!)]
struct Pool {
    zone: String,
    class: String,
    market: Market,
}

/// when a pool may be asked again
#[derive(Debug, Clone, Copy)]
struct Wait {
    until: Instant,
    tries: u32,
}

/// places that refused lately
#[derive(Debug, Clone)]
pub(super) struct Refusals {
    waits: BTreeMap<Pool, Wait>,
    random: SmallRng,
}

impl Refusals {
    pub(super) fn new(seed: u64) -> Self {
        Refusals {
            waits: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// notes a refused start; repeats within a wait count once
    pub(super) fn refused(&mut self, place: &Place, now: Instant) {
        let pool = pool(&place.zone, &place.class, place.market);
        let tries = match self.waits.get(&pool) {
            Some(wait) if wait.until > now => return,
            Some(wait) => wait.tries + 1,
            None => 0,
        };
        let wait = FIRST_WAIT
            .saturating_mul(1 << tries.min(8))
            .min(LONGEST_WAIT);
        let until = now + self.jittered(wait);
        self.waits.insert(pool, Wait { until, tries });
    }

    /// notes a reclaim in a zone
    pub(super) fn reclaimed(&mut self, zone: &str, class: &str, now: Instant) {
        let until = now + self.jittered(RECLAIM_WAIT);
        let pool = pool(zone, class, Market::Reclaimable);
        let wait = self.waits.entry(pool).or_insert(Wait { until, tries: 0 });
        wait.until = wait.until.max(until);
    }

    /// notes a start that was taken
    pub(super) fn accepted(&mut self, place: &Place, now: Instant) {
        let pool = pool(&place.zone, &place.class, place.market);
        if self.waits.get(&pool).is_some_and(|wait| wait.until <= now) {
            self.waits.remove(&pool);
        }
    }

    /// whether a place is not to be asked now
    pub(super) fn is_waiting(&self, place: &Place, now: Instant) -> bool {
        let pool = pool(&place.zone, &place.class, place.market);
        self.waits.get(&pool).is_some_and(|wait| wait.until > now)
    }

    /// drops what is long over
    pub(super) fn forget(&mut self, now: Instant) {
        self.waits.retain(|_, wait| wait.until + FORGET > now);
    }

    /// three quarters to five quarters of a wait
    fn jittered(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(self.random.random_range(0.75..1.25))
    }
}

fn pool(zone: &str, class: &str, market: Market) -> Pool {
    Pool {
        zone: zone.to_owned(),
        class: class.to_owned(),
        market,
    }
}
