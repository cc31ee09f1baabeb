//! The cheapest mix of places that serves a need.
//!
//! The slots left after the loss of the largest zone's reclaimable VMs have to
//! cover the need. For a given cap on that zone the cheapest mix fills places
//! in the order of their price up to the cap; so it is enough to try caps.
//! VMs that run already count as cheaper than new ones, so that a small
//! difference in price moves nothing.

use schema::cloud::Market;

use super::need::Need;
use crate::view::Place;

/// saving below which no VM is moved, percent of its price
const MOVE_PERCENT: u64 = 20;

/// caps that are tried
const CAPS: u64 = 24;

/// a whole, in percent
const WHOLE: u64 = 100;

/// what can be had of one place
#[derive(Debug, Clone, Copy)]
struct Offer {
    place: usize,
    /// VMs to be had
    room: u32,
    /// price of a slot, in units of a hundredth
    price: u64,
}

/// VMs for each place
#[derive(Debug, Clone)]
pub(super) struct Mix {
    pub(super) counts: Vec<u32>,
    pub(super) total: u32,
    slots: u64,
    on_demand: u32,
    // with VMs that run counted as cheaper
    cost: u64,
    // reclaimable slots of each zone that a place is in
    at_risk: Vec<u64>,
}

/// a search for the best mix
#[derive(Debug)]
pub(super) struct Search<'a> {
    places: &'a [Place],
    // for each place, the first place of the same zone
    zones: Vec<usize>,
    offers: Vec<Offer>,
    need: &'a Need,
}

impl<'a> Search<'a> {
    /// a search among places; `have` VMs run in each, closed ones take no new VM
    pub(super) fn new(places: &'a [Place], have: &[u32], closed: &[bool], need: &'a Need) -> Self {
        let mut offers = Vec::new();
        for (place, what) in places.iter().enumerate() {
            let price = what.slot_price() * WHOLE;
            let kept = price - what.slot_price() * MOVE_PERCENT;
            offers.push(Offer {
                place,
                room: have[place],
                price: kept,
            });
            if !closed[place] {
                offers.push(Offer {
                    place,
                    room: need.most,
                    price,
                });
            }
        }
        offers.retain(|offer| offer.room > 0);
        offers.sort_by_key(|offer| (offer.price, offer.place));
        let first = |place: &Place| places.iter().position(|other| other.zone == place.zone);
        let zones = places.iter().enumerate();
        let zones = zones
            .map(|(index, place)| first(place).unwrap_or(index))
            .collect();
        Search {
            places,
            zones,
            offers,
            need,
        }
    }

    /// the mix with the least shortfall, then the least cost
    pub(super) fn best(&self) -> Mix {
        let smallest = self.places.iter().map(|place| u64::from(place.slots)).min();
        let step = smallest.unwrap_or(1).max(1);
        let largest = self.largest_cap(step);
        let stride = largest.div_ceil(CAPS).max(step);
        // on-demand VMs alone need no cover
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

    /// half of all slots: beyond it, one zone would hold most VMs
    fn largest_cap(&self, step: u64) -> u64 {
        let demand_vms = self.need.slots.div_ceil(step);
        let vms = u64::from(self.need.floor).max(demand_vms + u64::from(self.need.spare));
        self.need.slots.max(vms.div_ceil(2) * step).max(step)
    }

    fn rank(&self, mix: &Mix) -> (u64, u32, u64) {
        let shortfall = (self.need.slots + mix.largest()).saturating_sub(mix.slots);
        let missing = self
            .need
            .floor
            .min(self.need.most)
            .saturating_sub(mix.total);
        (shortfall, missing, mix.cost)
    }

    /// fills places by price, with at most `cap` reclaimable slots in a zone
    fn fill(&self, cap: u64) -> Mix {
        let mut offers = self.offers.clone();
        let mut mix = Mix::empty(self.places.len());
        for (region, slots) in &self.need.regions {
            let mut placed = 0;
            while placed < *slots && mix.total < self.need.most {
                match self.pick(&mix, &mut offers, cap, Some(region)) {
                    Some(offer) => placed += self.put(&mut mix, offer),
                    None => break,
                }
            }
        }
        let mut for_demand = None;
        while mix.total < self.need.most {
            if for_demand.is_none() && mix.slots >= self.need.slots {
                for_demand = Some(mix.total);
            }
            if self.is_enough(&mix, for_demand) {
                break;
            }
            match self.pick(&mix, &mut offers, cap, None) {
                Some(offer) => self.put(&mut mix, offer),
                None => break,
            };
        }
        mix
    }

    /// whether demand, spare, floor and the loss of a zone are covered
    fn is_enough(&self, mix: &Mix, for_demand: Option<u32>) -> bool {
        let Some(for_demand) = for_demand else {
            return false;
        };
        mix.total >= for_demand.saturating_add(self.need.spare)
            && mix.total >= self.need.floor
            && mix.slots >= self.need.slots + mix.largest()
    }

    /// takes the cheapest VM that is allowed
    fn pick(
        &self,
        mix: &Mix,
        offers: &mut [Offer],
        cap: u64,
        region: Option<&str>,
    ) -> Option<Offer> {
        let share = u64::from(mix.on_demand) * WHOLE;
        let wanted = u64::from(self.need.on_demand_percent) * u64::from(mix.total + 1);
        if share < wanted {
            let dear = self.take(offers, region, |place| self.is_on_demand(place));
            if dear.is_some() {
                return dear;
            }
        }
        self.take(offers, region, |place| {
            let risk = mix.at_risk[self.zones[place]] + u64::from(self.places[place].slots);
            self.is_on_demand(place) || risk <= cap
        })
    }

    /// takes the cheapest VM of the places that a test lets through
    fn take(
        &self,
        offers: &mut [Offer],
        region: Option<&str>,
        test: impl Fn(usize) -> bool,
    ) -> Option<Offer> {
        for offer in offers {
            let here = region.is_none_or(|region| region == self.places[offer.place].region);
            if offer.room > 0 && here && test(offer.place) {
                offer.room -= 1;
                return Some(*offer);
            }
        }
        None
    }

    fn is_on_demand(&self, place: usize) -> bool {
        self.places[place].market == Market::OnDemand
    }

    /// adds a VM to a mix; gives its slots
    fn put(&self, mix: &mut Mix, offer: Offer) -> u64 {
        let place = &self.places[offer.place];
        let slots = u64::from(place.slots);
        mix.counts[offer.place] += 1;
        mix.total += 1;
        mix.slots += slots;
        mix.cost += offer.price * slots;
        match place.market {
            Market::OnDemand => mix.on_demand += 1,
            Market::Reclaimable => mix.at_risk[self.zones[offer.place]] += slots,
        }
        slots
    }
}

impl Mix {
    fn empty(places: usize) -> Self {
        Mix {
            counts: vec![0; places],
            total: 0,
            slots: 0,
            on_demand: 0,
            cost: 0,
            at_risk: vec![0; places],
        }
    }

    /// reclaimable slots of the zone that has most
    fn largest(&self) -> u64 {
        self.at_risk.iter().copied().max().unwrap_or_default()
    }
}
