//! How much is needed.

use std::collections::BTreeMap;

use schema::config::Capacity;

/// a whole, in percent
const WHOLE: u64 = 100;

/// what the mix has to provide
#[derive(Debug, Clone)]
pub(super) struct Need {
    /// slots for the demand of each region
    pub(super) regions: BTreeMap<String, u64>,
    /// slots for all demand
    pub(super) slots: u64,
    /// fewest VMs
    pub(super) floor: u32,
    /// most VMs
    pub(super) most: u32,
    /// VMs beyond the demand
    pub(super) spare: u32,
    /// least share of on-demand VMs, percent
    pub(super) on_demand_percent: u32,
}

impl Need {
    /// the need for a peak of demand; `most` VMs may run
    pub(super) fn new(peak: &BTreeMap<String, u32>, capacity: &Capacity, most: u32) -> Self {
        let fill = u64::from(capacity.load_percent.clamp(1, 100));
        let slots = |requests: u64| (requests * WHOLE).div_ceil(fill);
        let regions: BTreeMap<String, u64> = peak
            .iter()
            .map(|(region, requests)| (region.clone(), slots(u64::from(*requests))))
            .collect();
        Need {
            slots: regions.values().sum(),
            regions,
            floor: capacity.floor,
            most,
            spare: capacity.spare,
            on_demand_percent: capacity.on_demand_percent,
        }
    }

    /// the need for some percent more demand, with no more than `most` VMs
    pub(super) fn with_headroom(&self, percent: u32, most: u32) -> Self {
        let factor = WHOLE + u64::from(percent);
        let mut need = self.clone();
        for slots in need.regions.values_mut() {
            *slots = (*slots * factor).div_ceil(WHOLE);
        }
        need.slots = need.regions.values().sum();
        need.most = self.most.min(most);
        need
    }
}
