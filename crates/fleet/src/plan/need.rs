//! Capacity that a service needs.

use std::collections::BTreeMap;

use schema::config::Capacity;

const HUNDRED_PERCENT: u64 = 100;

/// capacity that the mix has to provide
#[derive(Debug, Clone)]
pub(super) struct Need {
    /// slots for the demand of each region
    pub(super) region_slots: BTreeMap<String, u64>,
    /// slots for all demand
    pub(super) slots: u64,
    /// minimum number of VMs
    pub(super) floor: u32,
    /// maximum number of VMs
    pub(super) max_vms: u32,
    /// VMs in addition to those for the demand
    pub(super) spare: u32,
    /// minimum share of on-demand VMs, percent
    pub(super) min_on_demand_percent: u32,
}

impl Need {
    /// the need for a peak of demand, with at most `max_vms` VMs
    pub(super) fn new(peak: &BTreeMap<String, u32>, capacity: &Capacity, max_vms: u32) -> Self {
        let load_percent = u64::from(capacity.load_percent.clamp(1, 100));
        let slots = |requests: u64| (requests * HUNDRED_PERCENT).div_ceil(load_percent);
        let region_slots: BTreeMap<String, u64> = peak
            .iter()
            .map(|(region, requests)| (region.clone(), slots(u64::from(*requests))))
            .collect();
        Need {
            slots: region_slots.values().sum(),
            region_slots,
            floor: capacity.floor,
            max_vms,
            spare: capacity.spare,
            min_on_demand_percent: capacity.on_demand_percent,
        }
    }

    /// the need for `percent` more demand, with at most `max_vms` VMs
    pub(super) fn with_headroom(&self, percent: u32, max_vms: u32) -> Self {
        let factor = HUNDRED_PERCENT + u64::from(percent);
        let mut need = self.clone();
        for slots in need.region_slots.values_mut() {
            *slots = (*slots * factor).div_ceil(HUNDRED_PERCENT);
        }
        need.slots = need.region_slots.values().sum();
        need.max_vms = self.max_vms.min(max_vms);
        need
    }
}
