//! The judge's record of what an engine ran.

use macro_rules_attribute::apply;
use schema::message;

/// one stream that an engine took
#[apply(message!)]
pub struct Run {
    /// name of the stream
    pub request_id: String,
    /// hash of the prompt
    pub prompt_hash: u64,
    /// index of the first token it generated here
    pub from: u32,
    /// tokens generated here
    pub generated: u32,
    /// tokens of prompt and prior computed here
    pub recomputed: u32,
    /// tokens of prompt and prior found in the prefix cache
    pub cached: u32,
    /// ended before its last token
    pub cancelled: bool,
    /// ended for good, whole or cancelled
    pub ended: bool,
    /// when it arrived, milliseconds since 1970
    pub started_at: u64,
}
