//! What a test may do to a link, and what a link counted.

use macro_rules_attribute::apply;
use schema::message;

/// body of `POST /control/faults`; replaces the faults before
#[derive(Default)]
#[apply(message!)]
#[serde(default)]
pub struct Faults {
    /// open connections are closed and new ones refused
    pub cut: bool,
    /// connections open now go silent for good; later ones work
    pub freeze: bool,
    /// everything is held back until this is false again
    pub blackhole: bool,
    /// the next requests that are forwarded while their answer is dropped
    pub lose_answers: u32,
    /// first bytes of the requests whose answers are lost; empty for any
    pub lose_prefix: String,
}

/// answer of `GET /control/counts`
#[apply(message!)]
#[derive(Copy, Default)]
pub struct Counts {
    /// connections accepted
    pub connections: u64,
    /// bytes from the near end to the far end
    pub forth: u64,
    /// bytes from the far end to the near end
    pub back: u64,
}
