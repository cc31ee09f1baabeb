//! The cheapest mix of pools that covers a need.
//!
//! The slots that remain after the loss of the reclaimable VMs of any one zone have to
//! cover the need. For a given cap on the reclaimable slots of a zone, the cheapest mix
//! fills pools in the order of their price up to the cap, so it is enough to try a number
//! of caps. Running VMs count as cheaper than new ones, so that small differences in price
//! don't move VMs between pools.

use schema::cloud::Market;

use super::need::Need;
use crate::view::Pool;

/// saving below which a VM is not moved to another pool, percent of its price
const MIN_SAVING_PERCENT: u64 = 20;

/// maximum number of caps to try, besides 0
const MAX_CAPS: u64 = 24;

const HUNDRED_PERCENT: u64 = 100;

/// VMs available in one pool at one price
#[derive(Debug, Clone, Copy)]
struct Offer {
    /// index of the pool
    pool: usize,
    /// number of VMs
    available: u32,
    /// price of a slot an hour, hundredths of a millionth of the currency
    price: u64,
}

/// number of VMs to run in each pool
#[derive(Debug, Clone)]
pub(super) struct Mix {
    pub(super) counts: Vec<u32>,
    pub(super) total: u32,
    slots: u64,
    on_demand: u32,
    // price of all slots, with running VMs counted as cheaper
    cost: u64,
    // reclaimable slots by zone, at the index from `Search::zones`
    at_risk: Vec<u64>,
}

/// search for the best mix
#[derive(Debug)]
pub(super) struct Search<'a> {
    pools: &'a [Pool],
    // for each pool, the index of the first pool in the same zone
    zones: Vec<usize>,
    offers: Vec<Offer>,
    need: &'a Need,
}

impl<'a> Search<'a> {
    /// a search among pools; `active` VMs exist in each, those in backoff get no new VMs
    pub(super) fn new(
        pools: &'a [Pool],
        active: &[u32],
        in_backoff: &[bool],
        need: &'a Need,
    ) -> Self {
        let mut offers = Vec::new();
        for (index, pool) in pools.iter().enumerate() {
            let price = pool.slot_price() * HUNDRED_PERCENT;
            let running_price = price - pool.slot_price() * MIN_SAVING_PERCENT;
            offers.push(Offer {
                pool: index,
                available: active[index],
                price: running_price,
            });
            if !in_backoff[index] {
                offers.push(Offer {
                    pool: index,
                    available: need.max_vms,
                    price,
                });
            }
        }
        offers.retain(|offer| offer.available > 0);
        offers.sort_by_key(|offer| (offer.price, offer.pool));
        let first = |pool: &Pool| pools.iter().position(|other| other.zone == pool.zone);
        let zones = pools.iter().enumerate();
        let zones = zones
            .map(|(index, pool)| first(pool).unwrap_or(index))
            .collect();
        Search {
            pools,
            zones,
            offers,
            need,
        }
    }

    /// the mix with the least shortfall of slots, then of VMs below the floor, then the least cost
    pub(super) fn best(&self) -> Mix {
        let smallest = self.pools.iter().map(|pool| u64::from(pool.slots)).min();
        let step = smallest.unwrap_or(1).max(1);
        let largest = self.largest_cap(step);
        let stride = largest.div_ceil(MAX_CAPS).max(step);
        // a cap of 0 allows on-demand VMs only, which need no cover for the loss of a zone
        let mut best = self.fill(0);
        let mut cap = 0;
        while cap < largest {
            cap = (cap + stride).min(largest);
            let mix = self.fill(cap);
            if self.rank(&mix) < self.rank(&best) {
                best = mix;
            }
        }
        best
    }

    /// highest cap to try: half of the slots of a mix that covers the need; with a higher cap one
    /// zone could hold more than half
    fn largest_cap(&self, step: u64) -> u64 {
        let demand_vms = self.need.slots.div_ceil(step);
        let vms = u64::from(self.need.floor).max(demand_vms + u64::from(self.need.spare));
        self.need.slots.max(vms.div_ceil(2) * step).max(step)
    }

    fn rank(&self, mix: &Mix) -> (u64, u32, u64) {
        let shortfall = (self.need.slots + mix.max_at_risk()).saturating_sub(mix.slots);
        let missing = self
            .need
            .floor
            .min(self.need.max_vms)
            .saturating_sub(mix.total);
        (shortfall, missing, mix.cost)
    }

    /// fills pools in the order of price, with at most `cap` reclaimable slots in a zone
    fn fill(&self, cap: u64) -> Mix {
        let mut offers = self.offers.clone();
        let mut mix = Mix::empty(self.pools.len());
        for (region, slots) in &self.need.region_slots {
            let mut placed = 0;
            while placed < *slots && mix.total < self.need.max_vms {
                match self.pick(&mix, &mut offers, cap, Some(region)) {
                    Some(offer) => placed += self.add(&mut mix, offer),
                    None => break,
                }
            }
        }
        let mut vms_for_demand = None;
        while mix.total < self.need.max_vms {
            if vms_for_demand.is_none() && mix.slots >= self.need.slots {
                vms_for_demand = Some(mix.total);
            }
            if self.is_enough(&mix, vms_for_demand) {
                break;
            }
            match self.pick(&mix, &mut offers, cap, None) {
                Some(offer) => self.add(&mut mix, offer),
                None => break,
            };
        }
        mix
    }

    /// whether demand, spare VMs, floor and the loss of a zone are covered
    fn is_enough(&self, mix: &Mix, vms_for_demand: Option<u32>) -> bool {
        let Some(vms_for_demand) = vms_for_demand else {
            return false;
        };
        mix.total >= vms_for_demand.saturating_add(self.need.spare)
            && mix.total >= self.need.floor
            && mix.slots >= self.need.slots + mix.max_at_risk()
    }

    /// takes the cheapest VM that the cap and the share of on-demand VMs allow
    fn pick(
        &self,
        mix: &Mix,
        offers: &mut [Offer],
        cap: u64,
        region: Option<&str>,
    ) -> Option<Offer> {
        let on_demand = u64::from(mix.on_demand) * HUNDRED_PERCENT;
        let required = u64::from(self.need.min_on_demand_percent) * u64::from(mix.total + 1);
        if on_demand < required {
            let offer = self.take(offers, region, |pool| self.is_on_demand(pool));
            if offer.is_some() {
                return offer;
            }
        }
        self.take(offers, region, |pool| {
            let at_risk = mix.at_risk[self.zones[pool]] + u64::from(self.pools[pool].slots);
            self.is_on_demand(pool) || at_risk <= cap
        })
    }

    /// takes the cheapest VM of the region's pools that fulfil `is_allowed`
    fn take(
        &self,
        offers: &mut [Offer],
        region: Option<&str>,
        is_allowed: impl Fn(usize) -> bool,
    ) -> Option<Offer> {
        for offer in offers {
            let in_region = region.is_none_or(|region| region == self.pools[offer.pool].region);
            if offer.available > 0 && in_region && is_allowed(offer.pool) {
                offer.available -= 1;
                return Some(*offer);
            }
        }
        None
    }

    fn is_on_demand(&self, pool: usize) -> bool {
        self.pools[pool].market == Market::OnDemand
    }

    /// adds a VM to a mix and returns its slots
    fn add(&self, mix: &mut Mix, offer: Offer) -> u64 {
        let pool = &self.pools[offer.pool];
        let slots = u64::from(pool.slots);
        mix.counts[offer.pool] += 1;
        mix.total += 1;
        mix.slots += slots;
        mix.cost += offer.price * slots;
        match pool.market {
            Market::OnDemand => mix.on_demand += 1,
            Market::Reclaimable => mix.at_risk[self.zones[offer.pool]] += slots,
        }
        slots
    }
}

impl Mix {
    fn empty(pools: usize) -> Self {
        Mix {
            counts: vec![0; pools],
            total: 0,
            slots: 0,
            on_demand: 0,
            cost: 0,
            at_risk: vec![0; pools],
        }
    }

    /// reclaimable slots of the zone with the most of them
    fn max_at_risk(&self) -> u64 {
        self.at_risk.iter().copied().max().unwrap_or_default()
    }
}
