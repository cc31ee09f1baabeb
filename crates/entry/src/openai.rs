//! Requests and responses in the format of the OpenAI API.

use macro_rules_attribute::apply;
use schema::data;
use serde::{Deserialize, Serialize};

use crate::fault::Fault;

/// tokens generated if the request does not state a number
const DEFAULT_MAX_TOKENS: u32 = 256;
/// most tokens that a request may ask for
const MAX_TOKENS: u32 = 32_768;

/// a completion request
#[apply(data!)]
pub struct Request {
    /// service, from the field `model`
    pub model: String,
    /// prompt, or the messages of a chat joined into one
    pub prompt: String,
    /// most tokens to generate
    pub max_tokens: u32,
    /// whether the response is streamed as server-sent events
    pub stream: bool,
    /// whether it is a chat completion
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

impl Request {
    /// parses the body of a request
    ///
    /// # Errors
    /// An error response that says what is invalid and what is allowed.
    pub fn parse(body: &[u8], chat: bool) -> Result<Request, Fault> {
        let parsed: Body = serde_json::from_slice(body)
            .map_err(|error| invalid(format!("The body is not a valid request: {error}.")))?;
        if parsed.n.is_some_and(|n| n != 1) {
            return Err(invalid(
                "Only one answer per request is supported: n must be 1.",
            ));
        }
        let max_tokens = parsed.max_tokens.or(parsed.max_completion_tokens);
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 || max_tokens > MAX_TOKENS {
            return Err(invalid(format!(
                "max_tokens must be from 1 to {MAX_TOKENS}."
            )));
        }
        let prompt = match (chat, parsed.prompt, parsed.messages) {
            (false, Some(prompt), _) => prompt,
            (true, _, Some(messages)) if !messages.is_empty() => join_messages(&messages),
            (false, _, _) => return Err(invalid("The field prompt must be a text.")),
            (true, _, _) => {
                return Err(invalid(
                    "The field messages must hold at least one message.",
                ));
            }
        };
        let (model, stream) = (parsed.model, parsed.stream);
        Ok(Request {
            model,
            prompt,
            max_tokens,
            stream,
            chat,
        })
    }
}

fn invalid(message: impl Into<String>) -> Fault {
    Fault::not_run(400, "body", message)
}

fn join_messages(messages: &[Message]) -> String {
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

/// token counts of a completion
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Usage {
    /// tokens of the prompt
    pub prompt_tokens: u32,
    /// tokens generated
    pub completion_tokens: u32,
    /// sum of both
    pub total_tokens: u32,
}

impl Usage {
    /// token counts and their sum
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
struct Response<'a> {
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

/// serialises the responses to one request
#[derive(Debug, Clone, Copy)]
pub struct Encoder<'a> {
    /// request id
    pub id: &'a str,
    /// service
    pub model: &'a str,
    /// whether it is a chat completion
    pub chat: bool,
}

impl Encoder<'_> {
    /// event of a stream with one token
    pub fn chunk(&self, text: &str) -> String {
        self.encode(Object::Chunk, text, None, None)
    }

    /// last event of a stream, with the finish reason and the token counts
    pub fn final_chunk(&self, finish: &str, usage: Usage) -> String {
        self.encode(Object::Chunk, "", Some(finish), Some(usage))
    }

    /// complete response
    pub fn complete(&self, text: &str, finish: &str, usage: Usage) -> String {
        self.encode(Object::Complete, text, Some(finish), Some(usage))
    }

    fn encode(
        &self,
        kind: Object,
        text: &str,
        finish: Option<&str>,
        usage: Option<Usage>,
    ) -> String {
        let message = Delta {
            role: "assistant",
            content: text,
        };
        let (text, delta, message) = match (self.chat, kind) {
            (false, _) => (Some(text), None, None),
            (true, Object::Chunk) => (None, Some(message), None),
            (true, Object::Complete) => (None, None, Some(message)),
        };
        let object = match (self.chat, kind) {
            (false, _) => "text_completion",
            (true, Object::Chunk) => "chat.completion.chunk",
            (true, Object::Complete) => "chat.completion",
        };
        let choice = Choice {
            index: 0,
            text,
            delta,
            message,
            finish_reason: finish,
        };
        let response = Response {
            id: self.id,
            object,
            model: self.model,
            choices: [choice],
            usage,
        };
        serde_json::to_string(&response).unwrap_or_default()
    }
}

#[derive(Clone, Copy)]
enum Object {
    Chunk,
    Complete,
}
