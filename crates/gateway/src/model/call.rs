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
    /// id of the caller's attempt that brought the first event of the stream that it resumes
    pub first_attempt: Option<String>,
}

impl Call {
    /// whether the caller resumes a stream of which it has received events
    pub fn is_resumed(&self) -> bool {
        self.resume_after.is_some() || self.first_attempt.is_some()
    }

    /// ids and token counts of the prompt's parts
    pub fn part_sizes(&self) -> Vec<(u64, u32)> {
        let parts = self.parts.iter();
        parts.map(|part| (part.id, part.tokens)).collect()
    }

    /// ids of the prompt's parts but the last one, which no other request shares
    pub fn shared_parts(&self) -> impl Iterator<Item = u64> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.id)
    }

    /// [`Call::shared_parts`] in hexadecimal, for logs
    pub fn shared_parts_text(&self) -> String {
        let ids: Vec<String> = self.shared_parts().map(|id| format!("{id:x}")).collect();
        ids.join(",")
    }

    /// number of prompt tokens, 0 if unknown
    pub fn prompt_tokens(&self) -> u32 {
        self.tokens.map_or(0, |(prompt, _)| prompt)
    }

    /// limit of output tokens, 0 if unknown
    pub fn output_tokens(&self) -> u32 {
        self.tokens.map_or(0, |(_, output)| output)
    }
}
