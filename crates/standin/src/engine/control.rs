//! What a test may do to an engine.

use macro_rules_attribute::apply;
use schema::message;

/// body of `POST /control/notice`
#[apply(message!)]
pub struct Notice {
    /// time until the engine dies, seconds
    pub seconds: f64,
}

/// body of `POST /control/faults`; replaces the faults before
#[derive(Copy, Default)]
#[apply(message!)]
#[serde(default)]
pub struct Faults {
    /// connections open now go silent for good; later ones work
    pub freeze: bool,
    /// completions are refused before they run, with `x-not-run: true`
    pub refuse: bool,
    /// no step is taken until this is false again
    pub stall: bool,
    /// the next completions whose connection closes before they run
    pub fail_before: u32,
    /// the next completions that run while their connection closes without an answer
    pub fail_after: u32,
}
