use std::collections::HashMap;

use macro_rules_attribute::apply;
use schema::message;

/// work per second that callers of a workspace request from a service
///
/// Serialised as four numbers of hundreds of tokens, to save bytes.
#[apply(message!)]
#[derive(Copy, Default)]
#[serde(from = "(u32, u32, u32, u32)", into = "(u32, u32, u32, u32)")]
pub struct Demand {
    /// requested, without what callers repeat
    pub requested: f64,
    /// refused for lack of capacity at the first attempt
    pub refused: f64,
    /// responded to, at the first attempt or later
    pub served: f64,
    /// part of it that took longer than the objective
    pub late: f64,
}

/// demand by service and workspace
pub type Demands = HashMap<String, HashMap<String, Demand>>;

/// unit of the serialised form
const UNIT: f64 = 100.0;

impl Demand {
    /// adds another demand
    pub fn add(&mut self, other: &Demand) {
        self.requested += other.requested;
        self.refused += other.refused;
        self.served += other.served;
        self.late += other.late;
    }

    /// requested, or served where callers state so little time that all seem to repeat
    pub fn wanted(&self) -> f64 {
        self.requested.max(self.served)
    }
}

impl From<(u32, u32, u32, u32)> for Demand {
    fn from((requested, refused, served, late): (u32, u32, u32, u32)) -> Demand {
        Demand {
            requested: f64::from(requested) * UNIT,
            refused: f64::from(refused.min(requested)) * UNIT,
            served: f64::from(served) * UNIT,
            late: f64::from(late.min(served)) * UNIT,
        }
    }
}

impl From<Demand> for (u32, u32, u32, u32) {
    fn from(demand: Demand) -> (u32, u32, u32, u32) {
        let units = |rate: f64| (rate / UNIT).round() as u32;
        (
            units(demand.requested),
            units(demand.refused),
            units(demand.served),
            units(demand.late),
        )
    }
}
