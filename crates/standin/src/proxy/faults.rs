//! Control API of a link: fault injection and counts.

use macro_rules_attribute::apply;
use schema::message;

/// body of `POST /control/faults`; replaces all faults
#[derive(Default)]
#[apply(message!)]
#[serde(default)]
pub struct Faults {
    /// open connections are closed and new ones refused
    pub cut: bool,
    /// connections open at this moment stay open but transfer nothing more; later ones work
    pub freeze: bool,
    /// all bytes are held back while this is true
    pub blackhole: bool,
    /// how many of the next requests are forwarded, but have their connection closed instead
    /// of a response
    pub lose_answers: u32,
    /// first bytes of the requests that `lose_answers` applies to; empty for any
    pub lose_prefix: String,
}

/// response of `GET /control/counts`
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
