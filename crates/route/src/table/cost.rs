//! Cost of a candidate under each load-balancing policy.

use super::Tier;
use super::state::Estimate;

/// factor on the prefill time: prefill also delays the VM's running streams
const PREFILL_WEIGHT: f64 = 2.0;

/// penalty for another data centre of the region, microseconds of waiting
const REGION_PENALTY_US: f64 = 20_000.0;

/// penalty for crossing the link between regions, microseconds of waiting
const LINK_PENALTY_US: f64 = 500_000.0;

/// penalty per byte on the link, microseconds of waiting
const LINK_BYTE_PENALTY_US: f64 = 10.0;

/// the cost function of a policy
pub(super) trait CostModel {
    /// cost of a VM, in a unit of the policy's choice
    fn cost(&self, estimate: &Estimate, target_us: f64) -> f64;

    /// amount that a tier adds to the cost
    fn penalty(&self, tier: Tier, bytes: u64) -> f64;

    /// maximum random fraction added to the cost, so that daemons with the same view choose
    /// differently
    fn jitter(&self) -> f64;
}

/// least estimated time to the first token
#[derive(Debug, Clone, Copy)]
pub(super) struct Affinity;

/// fewest local requests in flight
#[derive(Debug, Clone, Copy)]
pub(super) struct LeastRequests;

/// round robin
#[derive(Debug, Clone, Copy)]
pub(super) struct RoundRobin;

impl CostModel for Affinity {
    fn cost(&self, estimate: &Estimate, target_us: f64) -> f64 {
        let queue = &estimate.queue;
        let prefill_us = f64::from(estimate.prefill_tokens) * queue.prefill_us;
        let first_token_us = queue.wait_us + prefill_us;
        let late_us = (first_token_us - target_us).max(0.0);
        let contention_us = queue.step_us * queue.streams / queue.slots;
        queue.wait_us + PREFILL_WEIGHT * prefill_us + late_us + contention_us
    }

    fn penalty(&self, tier: Tier, bytes: u64) -> f64 {
        match tier {
            Tier::DataCentre => 0.0,
            Tier::Region => REGION_PENALTY_US,
            Tier::Link => LINK_PENALTY_US + LINK_BYTE_PENALTY_US * bytes as f64,
        }
    }

    fn jitter(&self) -> f64 {
        0.1
    }
}

impl CostModel for LeastRequests {
    fn cost(&self, estimate: &Estimate, _target_us: f64) -> f64 {
        f64::from(estimate.in_flight)
    }

    fn penalty(&self, tier: Tier, _bytes: u64) -> f64 {
        nearest_first(tier)
    }

    fn jitter(&self) -> f64 {
        0.0
    }
}

impl CostModel for RoundRobin {
    fn cost(&self, _estimate: &Estimate, _target_us: f64) -> f64 {
        0.0
    }

    fn penalty(&self, tier: Tier, _bytes: u64) -> f64 {
        nearest_first(tier)
    }

    fn jitter(&self) -> f64 {
        0.0
    }
}

/// penalties that use a farther tier only if the nearer ones have no VM
fn nearest_first(tier: Tier) -> f64 {
    match tier {
        Tier::DataCentre => 0.0,
        Tier::Region => 1e12,
        Tier::Link => 2e12,
    }
}
