//! Record of the streams that an engine ran, for the checks of tests.

use macro_rules_attribute::apply;
use schema::message;

/// one stream that an engine accepted
#[apply(message!)]
pub struct Run {
    /// id of the request, which names the stream
    pub request_id: String,
    /// hash of the prompt
    pub prompt_hash: u64,
    /// index of the first token that this engine generated
    pub from: u32,
    /// number of tokens that this engine generated
    pub generated: u32,
    /// prompt and prior tokens that were prefilled
    pub recomputed: u32,
    /// prompt and prior tokens found in the prefix cache
    pub cached: u32,
    /// cancelled before its last token
    pub cancelled: bool,
    /// ended, either complete or cancelled
    pub ended: bool,
    /// time of arrival, milliseconds since 1970
    pub started_at: u64,
}
