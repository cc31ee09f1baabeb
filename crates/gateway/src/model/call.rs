use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;

/// one part of a prompt, as the caller names it
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Part {
    /// identity of the part; equal parts have equal ids
    pub id: u64,
    /// length in tokens
    pub tokens: u32,
}

/// what the head of a caller's request says, besides method, path and host
#[apply(data!)]
pub struct Call {
    /// the attempt's id, chosen by the caller
    pub id: String,
    /// the secret that names the workspace
    pub key: Option<String>,
    /// how long the caller waits
    pub patience: Option<Duration>,
    /// prompt tokens and the most output tokens
    pub tokens: Option<(u32, u32)>,
    /// the prompt's parts in order; the last one is the request's own
    pub parts: Vec<Part>,
    /// id of the last event the caller has
    pub resume_after: Option<String>,
}

impl Call {
    /// tokens of the prompt, 0 if unknown
    pub fn prompt_tokens(&self) -> u32 {
        self.tokens.map_or(0, |(prompt, _)| prompt)
    }

    /// most tokens of the output, 0 if unknown
    pub fn output_tokens(&self) -> u32 {
        self.tokens.map_or(0, |(_, output)| output)
    }
}
