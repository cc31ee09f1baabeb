//! Pools in which VMs can be started, and their prices.

use std::collections::BTreeSet;

use macro_rules_attribute::apply;
use schema::cloud::{Market, Price, Vm};
use schema::config::Upstream;

/// price of a reclaimable VM if the cloud names none, millionths of the currency an hour
const DEFAULT_RECLAIMABLE_MICROS: u64 = 300_000;

/// price of an on-demand VM if the cloud names none, millionths of the currency an hour
const DEFAULT_ON_DEMAND_MICROS: u64 = 1_000_000;

/// zone and market in which VMs of an upstream can be started
#[apply(schema::data!)]
pub struct Pool {
    /// upstream that its VMs belong to
    pub upstream: String,
    /// region of the upstream
    pub region: String,
    /// zone of the cloud
    pub zone: String,
    /// machine class
    pub class: String,
    /// price class
    pub market: Market,
    /// requests that one VM runs at the same time
    pub slots: u32,
    /// price of one VM, millionths of the currency an hour
    pub micros_per_hour: u64,
}

impl Pool {
    /// whether a listed VM was started in this pool
    #[must_use]
    pub fn contains(&self, vm: &Vm) -> bool {
        self.upstream == vm.upstream && self.zone == vm.zone && self.market == vm.market
    }

    /// price of one slot, millionths of the currency an hour
    #[must_use]
    pub fn slot_price(&self) -> u64 {
        self.micros_per_hour / u64::from(self.slots.max(1))
    }
}

/// pools of `upstreams`: both markets of each zone that has a price or VMs
///
/// A zone belongs to the data centre whose name it equals or extends by a hyphen, as in
/// `fukuoka-a` and `fukuoka-a-1`. A data centre without any zone counts as a zone itself.
#[must_use]
pub fn pools(upstreams: &[&Upstream], prices: &[Price], vms: &[Vm]) -> Vec<Pool> {
    let mut pools = Vec::new();
    for upstream in upstreams {
        for zone in zones(upstream, prices, vms) {
            for market in [Market::Reclaimable, Market::OnDemand] {
                pools.push(Pool {
                    upstream: upstream.name.clone(),
                    region: upstream.region.clone(),
                    zone: zone.to_owned(),
                    class: upstream.class.clone(),
                    market,
                    slots: upstream.slots.max(1),
                    micros_per_hour: price(prices, zone, &upstream.class, market),
                });
            }
        }
    }
    pools
}

fn zones<'a>(upstream: &'a Upstream, prices: &'a [Price], vms: &'a [Vm]) -> BTreeSet<&'a str> {
    let data_centre = upstream.data_centre.as_str();
    let mut zones = BTreeSet::new();
    for price in prices {
        if price.class == upstream.class && is_in_data_centre(&price.zone, data_centre) {
            zones.insert(price.zone.as_str());
        }
    }
    for vm in vms {
        if vm.upstream == upstream.name {
            zones.insert(vm.zone.as_str());
        }
    }
    if zones.is_empty() {
        zones.insert(data_centre);
    }
    zones
}

fn is_in_data_centre(zone: &str, data_centre: &str) -> bool {
    match zone.strip_prefix(data_centre) {
        Some(suffix) => suffix.is_empty() || suffix.starts_with('-'),
        None => false,
    }
}

fn price(prices: &[Price], zone: &str, class: &str, market: Market) -> u64 {
    for price in prices {
        if price.zone == zone && price.class == class && price.market == market {
            return price.micros_per_hour;
        }
    }
    match market {
        Market::Reclaimable => DEFAULT_RECLAIMABLE_MICROS,
        Market::OnDemand => DEFAULT_ON_DEMAND_MICROS,
    }
}
