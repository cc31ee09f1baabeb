//! Control API of an engine: preemption notice and fault injection.

use macro_rules_attribute::apply;
use schema::message;

/// body of `POST /control/notice`
#[apply(message!)]
pub struct Notice {
    /// time until the engine stops, seconds
    pub seconds: f64,
}

/// body of `POST /control/faults`; replaces all faults
#[derive(Copy, Default)]
#[apply(message!)]
#[serde(default)]
pub struct Faults {
    /// streams open at this moment stay open but send nothing more; later ones work
    pub freeze: bool,
    /// completions are refused without being run, with `x-not-run: true`
    pub refuse: bool,
    /// the batch is not stepped while this is true
    pub stall: bool,
    /// how many of the next completions have their connection closed before they run
    pub fail_before: u32,
    /// how many of the next completions run, but have their connection closed without a response
    pub fail_after: u32,
    /// requests per second that it states to accept, in the responses to completions
    pub limit: Option<f64>,
}
