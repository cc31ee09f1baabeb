//! Reading bodies and writing whole answers.

use bytes::Bytes;
use macro_rules_attribute::apply;
use schema::message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use web::{BodyError, Request};

/// header of an answer with a JSON body
const JSON: (&str, &str) = ("content-type", "application/json");

/// header on a refusal that comes before anything ran
const NOT_RUN: (&str, &str) = ("x-not-run", "true");

/// largest body that is read, bytes
const BODY_MOST: usize = 16 << 20;

/// body of an error answer
#[apply(message!)]
pub struct Failure {
    /// what went wrong
    pub error: Problem,
}

/// what went wrong
#[apply(message!)]
pub struct Problem {
    /// short name, for programs
    pub code: String,
    /// sentence, for people
    pub message: String,
}

/// a refusal on its way to the client
#[derive(Clone, Debug)]
pub struct Refusal {
    status: u16,
    not_run: bool,
    failure: Failure,
}

/// makes a refusal; `not_run` adds the header `x-not-run: true`
pub fn fail(status: u16, code: &str, message: &str, not_run: bool) -> Refusal {
    let error = Problem {
        code: code.to_owned(),
        message: message.to_owned(),
    };
    Refusal {
        status,
        not_run,
        failure: Failure { error },
    }
}

impl Refusal {
    /// answers with the refusal
    pub fn send(&self, request: Request) {
        let headers = [JSON, NOT_RUN];
        let sent = if self.not_run { 2 } else { 1 };
        request.respond(self.status, &headers[..sent], encode(&self.failure));
    }
}

/// answers with a JSON body
pub fn answer<T: Serialize>(request: Request, status: u16, body: &T) {
    request.respond(status, &[JSON], encode(body));
}

/// closes the connection without an answer
pub fn close(request: Request) {
    drop(request);
}

/// reads the whole body
pub fn read_bytes(request: &mut Request) -> Result<Bytes, BodyError> {
    request.body(BODY_MOST)
}

/// reads the whole body as JSON
pub fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Refusal> {
    let malformed = |message: String| fail(400, "malformed", &message, true);
    let body = read_bytes(request).map_err(|error| malformed(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| malformed(error.to_string()))
}

fn encode<T: Serialize>(body: &T) -> Vec<u8> {
    serde_json::to_vec(body).expect("a message of the stand-ins can be encoded")
}
