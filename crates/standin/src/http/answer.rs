//! Reading bodies and writing whole answers.

use std::io;

use macro_rules_attribute::apply;
use schema::message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Header, Request, Response};

/// header on a refusal that comes before anything ran
const NOT_RUN: (&str, &str) = ("x-not-run", "true");

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
        let body = serde_json::to_vec(&self.failure).unwrap_or_default();
        let mut response = json(self.status, body);
        if self.not_run {
            response.add_header(header(NOT_RUN.0, NOT_RUN.1));
        }
        let _ = request.respond(response);
    }
}

/// answers with a JSON body
pub fn answer<T: Serialize>(request: Request, status: u16, body: &T) {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let _ = request.respond(json(status, body));
}

/// closes the connection without an answer
///
/// The client has to have asked for `Connection: close`.
pub fn close(request: Request) {
    drop(request.into_writer());
}

/// reads the whole body
pub fn read_bytes(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    request.as_reader().read_to_end(&mut body)?;
    let expected = request.body_length().unwrap_or(body.len());
    if body.len() < expected {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(body)
}

/// reads the whole body as JSON
pub fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Refusal> {
    let malformed = |message: String| fail(400, "malformed", &message, true);
    let body = read_bytes(request).map_err(|error| malformed(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| malformed(error.to_string()))
}

fn json(status: u16, body: Vec<u8>) -> Response<io::Cursor<Vec<u8>>> {
    Response::from_data(body)
        .with_status_code(status)
        .with_header(header("content-type", "application/json"))
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("a constant header is valid")
}
