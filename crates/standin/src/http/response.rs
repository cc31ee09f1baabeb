//! Reading request bodies and sending complete responses.

use bytes::Bytes;
use macro_rules_attribute::apply;
use schema::message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use web::{BodyError, Request};

/// header of a response with a JSON body
const JSON_HEADER: (&str, &str) = ("content-type", "application/json");

/// header of an error response to a request that was not executed
const NOT_RUN_HEADER: (&str, &str) = ("x-not-run", "true");

/// largest accepted request body
const MAX_BODY_BYTES: usize = 16 << 20;

/// body of an error response
#[apply(message!)]
pub struct ErrorBody {
    /// the error
    pub error: ErrorDetail,
}

/// code and message of an error
#[apply(message!)]
pub struct ErrorDetail {
    /// error code for programs
    pub code: String,
    /// message for people
    pub message: String,
}

/// an error response that is ready to be sent
#[derive(Clone, Debug)]
pub struct ErrorResponse {
    status: u16,
    not_run: bool,
    body: ErrorBody,
}

/// builds an error response; `not_run` adds the header `x-not-run: true`
pub fn error_response(status: u16, code: &str, message: &str, not_run: bool) -> ErrorResponse {
    let error = ErrorDetail {
        code: code.to_owned(),
        message: message.to_owned(),
    };
    ErrorResponse {
        status,
        not_run,
        body: ErrorBody { error },
    }
}

impl ErrorResponse {
    /// sends this response to `request`
    pub fn send(&self, request: Request) {
        let headers = [JSON_HEADER, NOT_RUN_HEADER];
        let count = if self.not_run { 2 } else { 1 };
        request.respond(self.status, &headers[..count], encode(&self.body));
    }
}

/// sends a response with a JSON body
pub fn respond_json<T: Serialize>(request: Request, status: u16, body: &T) {
    request.respond(status, &[JSON_HEADER], encode(body));
}

/// closes the connection without a response
pub fn close_connection(request: Request) {
    drop(request);
}

/// reads the complete body
pub fn read_bytes(request: &mut Request) -> Result<Bytes, BodyError> {
    request.body(MAX_BODY_BYTES)
}

/// reads the complete body as JSON; the error is a response with status 400
pub fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, ErrorResponse> {
    let malformed = |message: String| error_response(400, "malformed", &message, true);
    let body = read_bytes(request).map_err(|error| malformed(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| malformed(error.to_string()))
}

fn encode<T: Serialize>(body: &T) -> Vec<u8> {
    serde_json::to_vec(body).expect("response bodies should serialise to JSON")
}
