use std::fmt;
use std::sync::mpsc;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response};
use tokio::sync::mpsc::{UnboundedSender, channel};

use crate::body::Source;
use crate::writer::Writer;

/// most chunks of a response that are queued before [`Writer::write`] blocks
const MAX_QUEUED_CHUNKS: usize = 16;

/// why the body of a request can't be read
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// the body exceeds the limit
    TooLarge,
    /// the connection closed, the body was malformed, or the time-out passed
    Incomplete,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLarge => f.write_str("the body is too large"),
            BodyError::Incomplete => {
                f.write_str("the body is incomplete or was not received in time")
            }
        }
    }
}

impl std::error::Error for BodyError {}

/// command from the handler's thread to the connection
#[derive(Debug)]
pub(crate) enum Command {
    /// reads the body, up to this many bytes
    Read(usize, mpsc::Sender<Result<Bytes, BodyError>>),
    Respond(Response<Source>),
}

/// a request that waits for its response
///
/// Dropping it without a response closes the connection.
#[derive(Debug)]
pub struct Request {
    head: Parts,
    commands: UnboundedSender<Command>,
}

impl Request {
    pub(crate) fn new(head: Parts, commands: UnboundedSender<Command>) -> Request {
        Request { head, commands }
    }

    /// HTTP method
    pub fn method(&self) -> &Method {
        &self.head.method
    }

    /// path without the query
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// query without the question mark; empty if there is none
    pub fn query(&self) -> &str {
        self.head.uri.query().unwrap_or_default()
    }

    /// path with the query
    pub fn target(&self) -> &str {
        let target = self.head.uri.path_and_query();
        target.map_or("/", |target| target.as_str())
    }

    /// all headers
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// value of a header; none if it is missing or not visible ASCII
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// reads the body, up to `max_bytes`; blocks until it is complete
    ///
    /// # Errors
    /// When it is larger or can't be read completely.
    pub fn body(&mut self, max_bytes: usize) -> Result<Bytes, BodyError> {
        let stated = self.header(CONTENT_LENGTH.as_str());
        let stated = stated.and_then(|length| length.parse::<u64>().ok());
        if stated.is_some_and(|length| length > max_bytes as u64) {
            return Err(BodyError::TooLarge);
        }
        let (sender, receiver) = mpsc::channel();
        if self
            .commands
            .send(Command::Read(max_bytes, sender))
            .is_err()
        {
            return Err(BodyError::Incomplete);
        }
        // an error means that the connection closed
        receiver.recv().unwrap_or(Err(BodyError::Incomplete))
    }

    /// sends a complete response; does nothing if the caller has disconnected
    pub fn respond(self, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
        self.send_response(status, headers, Source::complete(body));
    }

    /// starts a response that is sent in chunks
    pub fn stream(self, status: u16, headers: &[(&str, &str)]) -> Writer {
        let (sender, chunks) = channel(MAX_QUEUED_CHUNKS);
        self.send_response(status, headers, Source::Chunks(chunks));
        Writer::new(sender)
    }

    fn send_response(&self, status: u16, headers: &[(&str, &str)], source: Source) {
        let mut response = Response::new(source);
        match http::StatusCode::from_u16(status) {
            Ok(status) => *response.status_mut() = status,
            Err(error) => {
                tracing::error!(event = "answer_malformed", status, %error);
                return;
            }
        }
        for (name, value) in headers {
            let parsed = (
                HeaderName::from_bytes(name.as_bytes()),
                HeaderValue::from_str(value),
            );
            match parsed {
                (Ok(name), Ok(value)) => drop(response.headers_mut().append(name, value)),
                _ => tracing::warn!(event = "header_left_out", name),
            }
        }
        if self.commands.send(Command::Respond(response)).is_err() {
            tracing::debug!(
                event = "caller_left",
                cause = "disconnected before the response was ready"
            );
        }
    }
}
