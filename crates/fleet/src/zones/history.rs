use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// time after a refusal in which a pool gets no orders for more VMs
const REFUSAL_BACKOFF: Duration = Duration::from_secs(2);

/// time beyond the boot time after which ordered VMs are no longer expected
const BOOT_GRACE: Duration = Duration::from_secs(2);

/// time after a refusal in which a pool counts as short of VMs; it spans a second
/// refusal and the response to the order after that
const SHORTAGE_PERIOD: Duration = Duration::from_secs(5);

/// zone and whether its reclaimable VMs are meant
type PoolKey = (String, bool);

/// accepted and refused orders of a service
#[derive(Debug, Clone, Default)]
pub struct OrderHistory {
    // number of VMs and time of the last accepted order
    accepted: HashMap<PoolKey, (u32, Instant)>,
    // end of the backoff after the last refusal
    refused: HashMap<PoolKey, Instant>,
}

impl OrderHistory {
    /// an empty history
    pub fn new() -> OrderHistory {
        OrderHistory::default()
    }

    /// records an order that the cloud accepted
    pub fn record_accepted(&mut self, zone: &str, reclaimable: bool, count: u32, now: Instant) {
        let pool = (zone.to_owned(), reclaimable);
        self.refused.remove(&pool);
        self.accepted.insert(pool, (count, now));
    }

    /// records an order that the cloud refused
    pub fn record_refused(&mut self, zone: &str, reclaimable: bool, now: Instant) {
        let pool = (zone.to_owned(), reclaimable);
        self.accepted.remove(&pool);
        self.refused.insert(pool, now + REFUSAL_BACKOFF);
    }

    /// records an order that may or may not have taken effect
    pub fn record_unknown(&mut self, zone: &str, reclaimable: bool) {
        self.accepted.remove(&(zone.to_owned(), reclaimable));
    }

    /// whether a pool is in backoff after a refusal
    pub(super) fn is_in_backoff(&self, pool: &Pool<'_>, now: Instant) -> bool {
        let until = self.refused.get(&pool.key());
        until.is_some_and(|until| now < *until)
    }

    /// whether a pool has refused an order recently and accepted none since
    pub(super) fn is_short(&self, pool: &Pool<'_>, now: Instant) -> bool {
        let until = self.refused.get(&pool.key());
        until.is_some_and(|until| now < *until + SHORTAGE_PERIOD - REFUSAL_BACKOFF)
    }

    /// VMs that were ordered and are expected but not live yet
    pub(super) fn pending(&self, pool: &Pool<'_>, boot_time: Duration, now: Instant) -> u32 {
        match self.accepted.get(&pool.key()) {
            Some((count, at)) if now < *at + boot_time + BOOT_GRACE => {
                count.saturating_sub(pool.live)
            }
            _ => 0,
        }
    }

    /// whether an order for `count` VMs has to be sent: it differs from the last accepted one, or
    /// the VMs of that one are overdue
    pub(super) fn is_due(
        &self,
        pool: &Pool<'_>,
        count: u32,
        boot_time: Duration,
        now: Instant,
    ) -> bool {
        match self.accepted.get(&pool.key()) {
            Some((ordered, at)) if *ordered == count => {
                pool.live < count && now >= *at + boot_time + BOOT_GRACE
            }
            Some(_) => true,
            None => pool.live != count,
        }
    }
}

/// VMs of one zone and price class
#[derive(Debug, Clone, Copy)]
pub(super) struct Pool<'a> {
    pub zone: &'a str,
    pub reclaimable: bool,
    /// number of live VMs
    pub live: u32,
}

impl Pool<'_> {
    fn key(&self) -> PoolKey {
        (self.zone.to_owned(), self.reclaimable)
    }
}
