use std::time::Duration;

use tokio::time::Instant;

use super::history::{OrderHistory, Pool};

/// number of live VMs in a zone, without those being reclaimed
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct VmCounts {
    /// reclaimable VMs
    pub reclaimable: u32,
    /// on-demand VMs
    pub on_demand: u32,
}

/// zone with its live VMs
#[derive(Debug, Clone, PartialEq)]
pub struct Zone {
    /// name of the zone
    pub name: String,
    /// price of an on-demand VM, per second
    pub price: f64,
    /// live VMs by price class
    pub live: VmCounts,
}

impl Zone {
    fn reclaimable(&self) -> Pool<'_> {
        Pool {
            zone: &self.name,
            reclaimable: true,
            live: self.live.reclaimable,
        }
    }

    fn on_demand(&self) -> Pool<'_> {
        Pool {
            zone: &self.name,
            reclaimable: false,
            live: self.live.on_demand,
        }
    }
}

/// constraints on a service's capacity
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Constraints {
    /// minimum number of VMs in a zone
    pub min: u32,
    /// maximum number of VMs in a zone
    pub max: u32,
    /// time from an order until the VM serves requests
    pub boot_time: Duration,
    /// whether the service may use reclaimable VMs
    pub reclaimable: bool,
}

/// number of VMs that a service needs
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// VMs to serve all requests in time, with a reserve for a rise of the load
    pub target: u32,
    /// VMs below which requests wait too long; on-demand VMs cost a multiple of reclaimable ones
    /// and are ordered only up to this number
    pub minimum: u32,
    /// VMs to serve most requests, though late, after the loss of one more zone; on-demand VMs are
    /// ordered to keep this number while reclaimable ones are refused in any zone
    pub after_zone_loss: u32,
}

/// order for the number of VMs in a zone
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolOrder {
    /// name of the zone
    pub zone: String,
    /// whether reclaimable or on-demand VMs are ordered
    pub reclaimable: bool,
    /// number of VMs that the zone should have
    pub count: u32,
    /// whether the number exceeds that of the live VMs
    pub is_increase: bool,
}

/// orders to send so that enough VMs are live even after the loss of any one zone's reclaimable
/// VMs
pub fn orders(
    zones: &[Zone],
    constraints: &Constraints,
    need: Need,
    history: &OrderHistory,
    now: Instant,
) -> Vec<PoolOrder> {
    let reclaimable = reclaimable_counts(zones, constraints, need.target);
    let on_demand_target = if constraints.reclaimable {
        need.minimum
    } else {
        need.target
    };
    let on_demand_target = on_demand_target.max(zone_loss_target(zones, need, history, now));
    let on_demand = on_demand_counts(zones, constraints, on_demand_target, history, now);
    let mut orders = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let pools = [
            (zone.reclaimable(), reclaimable[index]),
            (zone.on_demand(), on_demand[index]),
        ];
        for (pool, count) in pools {
            if history.is_in_backoff(&pool, now) && count > pool.live {
                continue;
            }
            if history.is_due(&pool, count, constraints.boot_time, now) {
                orders.push(PoolOrder {
                    zone: zone.name.clone(),
                    reclaimable: pool.reclaimable,
                    count,
                    is_increase: count > pool.live,
                });
            }
        }
    }
    orders
}

/// VMs needed so that `need.after_zone_loss` remain after the loss of the zone with the most
/// reclaimable ones; 0 unless some zone is short of reclaimable VMs already
fn zone_loss_target(zones: &[Zone], need: Need, history: &OrderHistory, now: Instant) -> u32 {
    if !zones
        .iter()
        .any(|zone| history.is_short(&zone.reclaimable(), now))
    {
        return 0;
    }
    let largest = zones.iter().map(|zone| zone.live.reclaimable).max();
    need.after_zone_loss + largest.unwrap_or(0)
}

/// reclaimable VMs of each zone: an even spread that leaves `needed` VMs after the loss of a zone
fn reclaimable_counts(zones: &[Zone], constraints: &Constraints, needed: u32) -> Vec<u32> {
    if !constraints.reclaimable {
        return vec![0; zones.len()];
    }
    let remaining_zones = u32::try_from(zones.len())
        .unwrap_or(u32::MAX)
        .saturating_sub(1)
        .max(1);
    let each = needed
        .div_ceil(remaining_zones)
        .clamp(constraints.min.max(1), constraints.max);
    vec![each; zones.len()]
}

/// on-demand VMs of each zone: those of `needed` that reclaimable ones don't cover, cheapest
/// zones first
fn on_demand_counts(
    zones: &[Zone],
    constraints: &Constraints,
    needed: u32,
    history: &OrderHistory,
    now: Instant,
) -> Vec<u32> {
    let mut covered = 0;
    for zone in zones {
        let pool = zone.reclaimable();
        covered += pool.live + history.pending(&pool, constraints.boot_time, now);
    }
    let live: u32 = zones.iter().map(|zone| zone.live.reclaimable).sum();
    let mut missing = needed.saturating_sub(covered);
    // on-demand VMs that run or start are kept until reclaimable ones are live, not just ordered
    let max_kept = needed.saturating_sub(live);
    let mut counts = vec![0; zones.len()];
    let mut kept = 0;
    for (index, zone) in zones.iter().enumerate() {
        let pool = zone.on_demand();
        let present = pool.live + history.pending(&pool, constraints.boot_time, now);
        let keep = present.min(max_kept.saturating_sub(kept));
        counts[index] = keep;
        kept += keep;
    }
    missing = missing.saturating_sub(kept);
    let mut by_price: Vec<usize> = (0..zones.len()).collect();
    by_price.sort_by(|one, other| zones[*one].price.total_cmp(&zones[*other].price));
    for index in by_price {
        let zone = &zones[index];
        if history.is_in_backoff(&zone.on_demand(), now) {
            continue;
        }
        let room = constraints
            .max
            .saturating_sub(counts[index] + zone.live.reclaimable);
        let added = missing.min(room);
        counts[index] += added;
        missing -= added;
    }
    if !constraints.reclaimable {
        for count in &mut counts {
            *count = (*count).max(constraints.min);
        }
    }
    counts
}
