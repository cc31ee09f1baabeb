//! Cost of generated tokens.

mod rate;

pub use rate::{Bill, per_thousand};
