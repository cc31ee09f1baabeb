//! Answers that are kept for repeats.

use std::time::{Duration, Instant};

use schema::objects::{Answer, Encoding, Header};

use crate::client::{Client, Object};
use crate::error::Error;
use crate::settle::create_settled;

/// longest body kept beside the claim, bytes as encoded
const MAX_INLINE_BYTES: usize = 1 << 10;
/// longest body kept at all, bytes as encoded
const MAX_BODY_BYTES: usize = 512 << 10;
/// longest time to store a body apart
const SETTLE: Duration = Duration::from_secs(5);

/// the answer to a request that ran
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// HTTP status
    pub status: u16,
    /// headers worth repeating
    pub headers: Vec<Header>,
    /// the body; `None` if it was too large to be kept
    pub body: Option<Vec<u8>>,
}

/// the answer to enter; a long body goes to an object of its own first
pub(super) fn keep(client: &Client, nonce: &str, outcome: &Outcome) -> Result<Answer, Error> {
    let answer = encode(outcome);
    let length = answer.body.as_ref().map_or(0, String::len);
    if length <= MAX_INLINE_BYTES {
        return Ok(answer);
    }
    if length > MAX_BODY_BYTES {
        return Ok(Answer {
            body: None,
            ..answer
        });
    }
    let object = Object::new(nonce, answer);
    // The name is the claim's nonce, so whatever is there is this answer.
    match create_settled(client, &object, Instant::now() + SETTLE, |_| true) {
        Ok(_) | Err(Error::Exists) => {}
        Err(error) => return Err(error),
    }
    Ok(Answer {
        apart: Some(nonce.to_owned()),
        body: None,
        ..object.spec
    })
}

/// the outcome of an entered answer
pub(super) fn fetch(client: &Client, answer: Answer) -> Result<Outcome, Error> {
    let Some(name) = &answer.apart else {
        return Ok(decode(answer));
    };
    match client.get::<Answer>(name)? {
        Some(object) => Ok(decode(object.spec)),
        None => Ok(decode(answer)),
    }
}

fn encode(outcome: &Outcome) -> Answer {
    let text = outcome.body.as_deref().map(str::from_utf8);
    let (encoding, body) = match text {
        None => (Encoding::Text, None),
        Some(Ok(text)) => (Encoding::Text, Some(text.to_owned())),
        Some(Err(_)) => (Encoding::Hex, outcome.body.as_ref().map(hex::encode)),
    };
    Answer {
        status: outcome.status,
        headers: outcome.headers.clone(),
        encoding,
        body,
        apart: None,
    }
}

fn decode(answer: Answer) -> Outcome {
    let body = match answer.encoding {
        Encoding::Text => answer.body.map(String::into_bytes),
        Encoding::Hex => answer.body.and_then(|body| hex::decode(body).ok()),
    };
    Outcome {
        status: answer.status,
        headers: answer.headers,
        body,
    }
}
