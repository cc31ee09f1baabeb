//! Where VMs can be started, and at what price.

use std::collections::BTreeSet;

use macro_rules_attribute::apply;
use schema::cloud::{Market, Price, Vm};
use schema::config::Upstream;

/// price of a reclaimable VM where the cloud names none, millionths an hour
const RECLAIMABLE_MICROS: u64 = 300_000;

/// price of an on-demand VM where the cloud names none, millionths an hour
const ON_DEMAND_MICROS: u64 = 1_000_000;

/// a zone and market in which an upstream's VMs can be started
#[apply(schema::data!)]
pub struct Place {
    /// upstream that its VMs belong to
    pub upstream: String,
    /// region of the upstream
    pub region: String,
    /// zone of the cloud
    pub zone: String,
    /// machine class
    pub class: String,
    /// how VMs are paid for
    pub market: Market,
    /// requests one VM runs at the same time
    pub slots: u32,
    /// price of one VM, millionths of the currency an hour
    pub micros_per_hour: u64,
}

impl Place {
    /// whether a VM of the list was started here
    #[must_use]
    pub fn holds(&self, vm: &Vm) -> bool {
        self.upstream == vm.upstream && self.zone == vm.zone && self.market == vm.market
    }

    /// price of one slot, millionths an hour
    #[must_use]
    pub fn slot_price(&self) -> u64 {
        self.micros_per_hour / u64::from(self.slots.max(1))
    }
}

/// all places of some upstreams: zones that the cloud prices or that VMs run in
///
/// A zone belongs to the data centre whose name it has or starts with, as in
/// `fukuoka-a` and `fukuoka-a-1`. A data centre without such a zone is its own.
#[must_use]
pub fn places(upstreams: &[&Upstream], prices: &[Price], vms: &[Vm]) -> Vec<Place> {
    let mut places = Vec::new();
    for upstream in upstreams {
        for zone in zones(upstream, prices, vms) {
            for market in [Market::Reclaimable, Market::OnDemand] {
                places.push(Place {
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
    places
}

fn zones<'a>(upstream: &'a Upstream, prices: &'a [Price], vms: &'a [Vm]) -> BTreeSet<&'a str> {
    let centre = upstream.data_centre.as_str();
    let mut zones = BTreeSet::new();
    for price in prices {
        if price.class == upstream.class && is_inside(&price.zone, centre) {
            zones.insert(price.zone.as_str());
        }
    }
    for vm in vms {
        if vm.upstream == upstream.name {
            zones.insert(vm.zone.as_str());
        }
    }
    if zones.is_empty() {
        zones.insert(centre);
    }
    zones
}

fn is_inside(zone: &str, centre: &str) -> bool {
    match zone.strip_prefix(centre) {
        Some(rest) => rest.is_empty() || rest.starts_with('-'),
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
        Market::Reclaimable => RECLAIMABLE_MICROS,
        Market::OnDemand => ON_DEMAND_MICROS,
    }
}
