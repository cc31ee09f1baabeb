//! Control API of the cloud: registration, reclaims, fault injection and the bill.

use macro_rules_attribute::apply;
use schema::cloud::{Market, Vm};
use schema::message;

/// body of `POST /control/vms`: adds a VM that the test runs itself
#[apply(message!)]
pub struct Registration {
    /// the VM as it appears in the list
    pub vm: Vm,
    /// forward preemption notices to `POST /control/notice` at its address
    #[serde(default)]
    pub forward_notice: bool,
}

/// body of `POST /control/notice`: reclaims one VM, or all reclaimable VMs of a zone
#[apply(message!)]
#[derive(Default)]
#[serde(default)]
pub struct Reclaim {
    /// name of the VM; empty to select by zone
    pub vm: String,
    /// zone whose reclaimable VMs are selected
    pub zone: String,
    /// time from the notice to the removal, seconds
    pub seconds: u32,
}

/// body of `POST /control/faults`; replaces all faults
#[apply(message!)]
#[derive(Default)]
#[serde(default)]
pub struct Faults {
    /// every API request fails with status 503
    pub outage: bool,
    /// delay before an API request is processed, milliseconds
    pub delay_ms: u64,
    /// how many of the next starts and removals take effect without a response
    pub lose_answers: u32,
    /// starts that are refused for lack of capacity
    pub refuse: Vec<Refusal>,
}

/// zone and market in which starts are refused
#[apply(message!)]
#[derive(Default)]
#[serde(default)]
pub struct Refusal {
    /// zone; empty for any
    pub zone: String,
    /// market; `None` for any
    pub market: Option<Market>,
}

impl Refusal {
    /// whether it applies to a start in this zone and market
    pub fn covers(&self, zone: &str, market: Market) -> bool {
        let in_zone = self.zone.is_empty() || self.zone == zone;
        in_zone && self.market.is_none_or(|refused| refused == market)
    }
}

/// response of `GET /control/bill`
#[apply(message!)]
pub struct Bill {
    /// charges of all VMs, including removed ones
    pub charges: Vec<Charge>,
    /// sum of the charges, millionths of the currency unit
    pub micros: u64,
}

/// cost of one VM so far
#[apply(message!)]
pub struct Charge {
    /// name of the VM
    pub vm: String,
    /// its market
    pub market: Market,
    /// millionths of the currency unit
    pub micros: u64,
}
