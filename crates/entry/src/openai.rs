//! The OpenAI form of requests and answers.

use macro_rules_attribute::apply;
use schema::data;
use serde::{Deserialize, Serialize};

use crate::fault::Fault;

/// tokens generated when the caller names no number
const DEFAULT_TOKENS: u32 = 256;
/// most tokens of one answer
const MOST_TOKENS: u32 = 32_768;

/// a completion as a caller asks for it
#[apply(data!)]
pub struct Ask {
    /// service, from the field `model`
    pub model: String,
    /// whole prompt
    pub prompt: String,
    /// tokens wanted
    pub max_tokens: u32,
    /// answer as server-sent events
    pub stream: bool,
    /// the answer has the form of a chat completion
    pub chat: bool,
}

#[derive(Deserialize)]
struct Body {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    n: Option<u32>,
}

#[derive(Deserialize, Serialize)]
struct Message {
    role: String,
    content: String,
}

impl Ask {
    /// reads the body of a request
    ///
    /// # Errors
    /// A sentence that tells what is wrong and what is allowed.
    pub fn read(body: &[u8], chat: bool) -> Result<Ask, Fault> {
        let parsed: Body = serde_json::from_slice(body)
            .map_err(|error| bad(format!("The body is not a valid request: {error}.")))?;
        if parsed.n.is_some_and(|n| n != 1) {
            return Err(bad(
                "Only one answer per request is supported: n must be 1.",
            ));
        }
        let max_tokens = parsed.max_tokens.or(parsed.max_completion_tokens);
        let max_tokens = max_tokens.unwrap_or(DEFAULT_TOKENS);
        if max_tokens == 0 || max_tokens > MOST_TOKENS {
            return Err(bad(format!("max_tokens must be from 1 to {MOST_TOKENS}.")));
        }
        let prompt = match (chat, parsed.prompt, parsed.messages) {
            (false, Some(prompt), _) => prompt,
            (true, _, Some(messages)) if !messages.is_empty() => join(&messages),
            (false, _, _) => return Err(bad("The field prompt must be a text.")),
            (true, _, _) => return Err(bad("The field messages must hold at least one message.")),
        };
        let (model, stream) = (parsed.model, parsed.stream);
        Ok(Ask {
            model,
            prompt,
            max_tokens,
            stream,
            chat,
        })
    }
}

fn bad(message: impl Into<String>) -> Fault {
    Fault::refused(400, "body", message)
}

fn join(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt.push_str("assistant: ");
    prompt
}

/// counts of tokens in an answer
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Usage {
    /// tokens of the prompt
    pub prompt_tokens: u32,
    /// tokens of the answer
    pub completion_tokens: u32,
    /// both together
    pub total_tokens: u32,
}

impl Usage {
    /// the counts of an answer
    pub fn new(prompt: u32, completion: u32) -> Usage {
        let total_tokens = prompt + completion;
        Usage {
            prompt_tokens: prompt,
            completion_tokens: completion,
            total_tokens,
        }
    }
}

#[derive(Serialize)]
struct Reply<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Delta<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    role: &'static str,
    content: &'a str,
}

/// writes the answers of one request
#[derive(Debug, Clone, Copy)]
pub struct Form<'a> {
    /// request id
    pub id: &'a str,
    /// service
    pub model: &'a str,
    /// form of a chat completion
    pub chat: bool,
}

impl Form<'_> {
    /// one token of a stream
    pub fn chunk(&self, text: &str) -> String {
        self.write(Part::Delta, text, None, None)
    }

    /// last event of a stream
    pub fn last(&self, finish: &str, usage: Usage) -> String {
        self.write(Part::Delta, "", Some(finish), Some(usage))
    }

    /// a whole answer
    pub fn whole(&self, text: &str, finish: &str, usage: Usage) -> String {
        self.write(Part::Whole, text, Some(finish), Some(usage))
    }

    fn write(&self, part: Part, text: &str, finish: Option<&str>, usage: Option<Usage>) -> String {
        let message = Delta {
            role: "assistant",
            content: text,
        };
        let (text, delta, message) = match (self.chat, part) {
            (false, _) => (Some(text), None, None),
            (true, Part::Delta) => (None, Some(message), None),
            (true, Part::Whole) => (None, None, Some(message)),
        };
        let object = match (self.chat, part) {
            (false, _) => "text_completion",
            (true, Part::Delta) => "chat.completion.chunk",
            (true, Part::Whole) => "chat.completion",
        };
        let choice = Choice {
            index: 0,
            text,
            delta,
            message,
            finish_reason: finish,
        };
        let reply = Reply {
            id: self.id,
            object,
            model: self.model,
            choices: [choice],
            usage,
        };
        serde_json::to_string(&reply).unwrap_or_default()
    }
}

#[derive(Clone, Copy)]
enum Part {
    Delta,
    Whole,
}
