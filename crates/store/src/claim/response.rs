//! Responses that are stored to answer repeats of a request.

use std::time::{Duration, Instant};

use schema::objects::{Answer, Encoding, Header};

use crate::client::{Client, Object};
use crate::error::Error;
use crate::write::create_with_retry;

/// maximum encoded size of a body that is stored in the claim itself
const MAX_INLINE_BYTES: usize = 1 << 10;
/// maximum encoded size of a body that is stored at all
const MAX_BODY_BYTES: usize = 512 << 10;
/// time limit for storing a body in a separate object
const SAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// the response to a request that ran
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// HTTP status
    pub status: u16,
    /// headers to be sent with repeats
    pub headers: Vec<Header>,
    /// the body; `None` if it was too large to be stored
    pub body: Option<Vec<u8>>,
}

/// encodes a response for its claim; stores a large body in a separate object first
pub(super) fn save(client: &Client, nonce: &str, response: &Response) -> Result<Answer, Error> {
    let answer = encode(response);
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
    // The object is named by the claim's nonce, so an existing one contains this response.
    match create_with_retry(client, &object, Instant::now() + SAVE_TIMEOUT, |_| true) {
        Ok(_) | Err(Error::AlreadyExists) => {}
        Err(error) => return Err(error),
    }
    Ok(Answer {
        apart: Some(nonce.to_owned()),
        body: None,
        ..object.spec
    })
}

/// decodes a stored response; reads its body if that is in a separate object
pub(super) fn load(client: &Client, answer: Answer) -> Result<Response, Error> {
    let Some(name) = &answer.apart else {
        return Ok(decode(answer));
    };
    match client.get::<Answer>(name)? {
        Some(object) => Ok(decode(object.spec)),
        None => Ok(decode(answer)),
    }
}

fn encode(response: &Response) -> Answer {
    let text = response.body.as_deref().map(str::from_utf8);
    let (encoding, body) = match text {
        None => (Encoding::Text, None),
        Some(Ok(text)) => (Encoding::Text, Some(text.to_owned())),
        Some(Err(_)) => (Encoding::Hex, response.body.as_ref().map(hex::encode)),
    };
    Answer {
        status: response.status,
        headers: response.headers.clone(),
        encoding,
        body,
        apart: None,
    }
}

fn decode(answer: Answer) -> Response {
    let body = match answer.encoding {
        Encoding::Text => answer.body.map(String::into_bytes),
        Encoding::Hex => answer.body.and_then(|body| hex::decode(body).ok()),
    };
    Response {
        status: answer.status,
        headers: answer.headers,
        body,
    }
}
