//! Completion requests.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;

/// a completion request
#[apply(data!)]
pub struct Request {
    /// service, sent as `model`
    pub service: String,
    /// prompt
    pub prompt: String,
    /// tokens to generate
    pub max_tokens: u32,
    /// send as a chat with one message
    pub chat: bool,
    /// sent as `X-Priority`
    pub priority: Option<u8>,
    /// sent as `X-Deadline-Ms`
    pub deadline: Option<Duration>,
}

impl Request {
    /// request to `service` for a completion of `prompt`
    pub fn new(service: &str, prompt: &str, max_tokens: u32) -> Self {
        Self {
            service: service.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            chat: false,
            priority: None,
            deadline: None,
        }
    }

    /// sends the request as a chat
    pub fn chat(mut self) -> Self {
        self.chat = true;
        self
    }

    /// sets the priority, 0 lowest, 9 highest
    pub fn priority(mut self, priority: u8) -> Self {
        self.priority = Some(priority);
        self
    }

    /// sets the time within which the response must be complete
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// text that the engine stand-in generates for `prompt`
    ///
    /// The prompt of a chat is the one that the daemon builds from its messages.
    pub fn expected(&self, prompt: &str) -> String {
        (0..self.max_tokens)
            .map(|index| standin::engine::token(prompt, index))
            .collect()
    }

    /// prompt as the engine receives it
    pub fn engine_prompt(&self) -> String {
        match self.chat {
            true => format!("user: {}\nassistant: ", self.prompt),
            false => self.prompt.clone(),
        }
    }
}
