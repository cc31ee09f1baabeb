//! What a plan asks for.

use macro_rules_attribute::apply;

use crate::view::Place;

/// one thing to do
#[apply(schema::data!)]
pub enum Action {
    /// start a VM
    Start(Start),
    /// give a VM no new work; named by its VM
    Drain(String),
    /// remove a VM that has finished; named by its VM
    Remove(String),
}

/// a VM to start
#[apply(schema::data!)]
pub struct Start {
    /// name, the same for every planner
    pub name: String,
    /// where
    pub place: Place,
}
