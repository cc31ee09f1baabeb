//! What a test may do to the cloud, and the judge's bill.

use macro_rules_attribute::apply;
use schema::cloud::{Market, Vm};
use schema::message;

/// body of `POST /control/vms`: a VM that a test runs itself
#[apply(message!)]
pub struct Registration {
    /// the VM as the list shows it
    pub vm: Vm,
    /// pass reclaim notices on to `POST /control/notice` of its address
    #[serde(default)]
    pub forward_notice: bool,
}

/// body of `POST /control/notice`: reclaims a VM or the reclaimable VMs of a zone
#[apply(message!)]
#[derive(Default)]
#[serde(default)]
pub struct Reclaim {
    /// name of the VM; empty to go by zone
    pub vm: String,
    /// zone whose reclaimable VMs are taken
    pub zone: String,
    /// time until they are taken, seconds
    pub seconds: u32,
}

/// body of `POST /control/faults`; replaces the faults before
#[apply(message!)]
#[derive(Default)]
#[serde(default)]
pub struct Faults {
    /// every request is answered with status 503
    pub outage: bool,
    /// time added to every answer, milliseconds
    pub delay_ms: u64,
    /// the next starts and removals that take effect without an answer
    pub lose_answers: u32,
    /// starts that are refused for lack of capacity
    pub refuse: Vec<Refusal>,
}

/// starts that are refused
#[apply(message!)]
#[derive(Default)]
#[serde(default)]
pub struct Refusal {
    /// zone; empty for any
    pub zone: String,
    /// market; none for any
    pub market: Option<Market>,
}

impl Refusal {
    /// true if it covers a start
    pub fn covers(&self, zone: &str, market: Market) -> bool {
        let in_zone = self.zone.is_empty() || self.zone == zone;
        in_zone && self.market.is_none_or(|refused| refused == market)
    }
}

/// answer of `GET /control/bill`
#[apply(message!)]
pub struct Bill {
    /// charges of all VMs, those that are gone too
    pub charges: Vec<Charge>,
    /// sum, millionths of the currency
    pub micros: u64,
}

/// what one VM cost so far
#[apply(message!)]
pub struct Charge {
    /// name of the VM
    pub vm: String,
    /// its market
    pub market: Market,
    /// millionths of the currency
    pub micros: u64,
}
