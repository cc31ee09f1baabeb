use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;

/// one part of a prompt, as identified by the caller
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Part {
    /// id of the content; equal parts have equal ids
    pub id: u64,
    /// length in tokens
    pub tokens: u32,
}

/// decoded headers of a caller's request
#[apply(data!)]
pub struct Call {
    /// id of the caller's attempt, chosen by the caller
    pub id: String,
    /// secret key that identifies the workspace
    pub key: Option<String>,
    /// time for which the caller waits
    pub time_limit: Option<Duration>,
    /// prompt tokens and the limit of output tokens
    pub tokens: Option<(u32, u32)>,
    /// the prompt's parts in order; the last one is unique to the request
    pub parts: Vec<Part>,
    /// id of the last event that the caller has received
    pub resume_after: Option<String>,
}

impl Call {
    /// number of prompt tokens, 0 if unknown
    pub fn prompt_tokens(&self) -> u32 {
        self.tokens.map_or(0, |(prompt, _)| prompt)
    }

    /// limit of output tokens, 0 if unknown
    pub fn output_tokens(&self) -> u32 {
        self.tokens.map_or(0, |(_, output)| output)
    }
}
