//! How candidates are compared.

use super::Tier;
use super::live::Look;

/// factor on prefill beyond its own time: it holds up the streams of the VM
const PREFILL_WEIGHT: f64 = 2.0;

/// price of leaving the data centre, microseconds of waiting
const REGION_PRICE_US: f64 = 20_000.0;

/// price of crossing the link between regions, microseconds of waiting
const LINK_PRICE_US: f64 = 500_000.0;

/// price of one byte on the link, microseconds of waiting
const LINK_BYTE_PRICE_US: f64 = 10.0;

/// the part of a policy that compares candidates
pub(super) trait Rule {
    /// returns the cost of a VM, in the rule's own unit
    fn cost(&self, look: &Look, target_us: f64) -> f64;

    /// returns what a tier adds to the cost
    fn price(&self, tier: Tier, bytes: u64) -> f64;

    /// returns how much of the cost is random, so that like daemons differ
    fn jitter(&self) -> f64;
}

/// least estimated time to the first token
#[derive(Debug, Clone, Copy)]
pub(super) struct Affinity;

/// fewest own requests in flight
#[derive(Debug, Clone, Copy)]
pub(super) struct Least;

/// each in its turn
#[derive(Debug, Clone, Copy)]
pub(super) struct Turns;

impl Rule for Affinity {
    fn cost(&self, look: &Look, target_us: f64) -> f64 {
        let queue = &look.queue;
        let prefill_us = f64::from(look.prefill_tokens) * queue.prefill_us;
        let first_us = queue.wait_us + prefill_us;
        let late_us = (first_us - target_us).max(0.0);
        let crowding_us = queue.step_us * queue.streams / queue.slots;
        queue.wait_us + PREFILL_WEIGHT * prefill_us + late_us + crowding_us
    }

    fn price(&self, tier: Tier, bytes: u64) -> f64 {
        match tier {
            Tier::Near => 0.0,
            Tier::Region => REGION_PRICE_US,
            Tier::Link => LINK_PRICE_US + LINK_BYTE_PRICE_US * bytes as f64,
        }
    }

    fn jitter(&self) -> f64 {
        0.1
    }
}

impl Rule for Least {
    fn cost(&self, look: &Look, _target_us: f64) -> f64 {
        f64::from(look.in_flight)
    }

    fn price(&self, tier: Tier, _bytes: u64) -> f64 {
        nearest_only(tier)
    }

    fn jitter(&self) -> f64 {
        0.0
    }
}

impl Rule for Turns {
    fn cost(&self, _look: &Look, _target_us: f64) -> f64 {
        0.0
    }

    fn price(&self, tier: Tier, _bytes: u64) -> f64 {
        nearest_only(tier)
    }

    fn jitter(&self) -> f64 {
        0.0
    }
}

/// a farther tier is used only if the nearer ones have no VM
fn nearest_only(tier: Tier) -> f64 {
    match tier {
        Tier::Near => 0.0,
        Tier::Region => 1e12,
        Tier::Link => 2e12,
    }
}
