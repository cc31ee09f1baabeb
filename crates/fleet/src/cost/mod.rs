//! What generated tokens cost.

mod rate;

pub use rate::{Bill, per_thousand};
