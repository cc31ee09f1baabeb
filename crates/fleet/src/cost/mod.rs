//! Cost of generated tokens.

mod rate;

pub use rate::{Cost, per_thousand_tokens};
