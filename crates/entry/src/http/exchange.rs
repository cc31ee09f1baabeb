//! A caller's request and the means to respond to it.

use bytes::Bytes;
use engine::Header;
use web::Request;

use super::{Headers, Sse};
use crate::fault::Fault;

/// size limits of a request
#[derive(Debug, Clone, Copy)]
pub struct SizeLimits {
    /// largest body, bytes
    pub body_bytes: usize,
    /// largest sum of header names and values, bytes
    pub header_bytes: u64,
}

/// a request that waits for its response
pub struct Exchange {
    inner: Request,
    /// HTTP method
    pub method: String,
    /// path without the query
    pub path: String,
    /// query without the question mark; empty if there is none
    pub query: String,
    /// validated headers
    pub headers: Headers,
    size_limits: SizeLimits,
}

impl Exchange {
    /// validates the head of a request; responds with an error if it is invalid
    pub fn read(inner: Request, size_limits: SizeLimits) -> Option<Exchange> {
        let parsed = Headers::read(inner.headers(), size_limits.header_bytes);
        let (headers, fault) = match parsed {
            Ok(headers) => (headers, None),
            Err(fault) => (Headers::default(), Some(fault)),
        };
        let method = inner.method().as_str().to_owned();
        let exchange = Exchange {
            method,
            path: inner.path().to_owned(),
            query: inner.query().to_owned(),
            inner,
            headers,
            size_limits,
        };
        match fault {
            Some(fault) => {
                exchange.fail(&fault);
                None
            }
            None => Some(exchange),
        }
    }

    /// reads the body
    ///
    /// # Errors
    /// When it is too large or can't be read completely.
    pub fn body(&mut self) -> Result<Bytes, Fault> {
        let max_bytes = self.size_limits.body_bytes;
        self.inner.body(max_bytes).map_err(|error| match error {
            web::BodyError::TooLarge => {
                let message = format!("The body is larger than {max_bytes} bytes.");
                Fault::not_run(413, "body_size", message)
            }
            web::BodyError::Incomplete => {
                Fault::not_run(400, "body", "The body did not come whole.")
            }
        })
    }

    /// responds with JSON
    pub fn json(self, status: u16, body: &str) {
        let kind = Header::new("content-type", "application/json");
        self.respond(status, &[kind], body.as_bytes().to_vec());
    }

    /// responds with an error
    pub fn fail(self, fault: &Fault) {
        let mut headers = vec![Header::new("content-type", "application/json")];
        if let Some(delay) = fault.retry_after {
            let seconds = delay.as_millis().div_ceil(1000).max(1);
            headers.push(Header::new("retry-after", seconds.to_string()));
        }
        self.respond(fault.status, &headers, fault.json().into_bytes());
    }

    /// sends a complete response; does nothing if the caller has disconnected
    pub fn respond(self, status: u16, headers: &[Header], body: Vec<u8>) {
        let headers: Vec<(&str, &str)> = headers
            .iter()
            .map(|header| (header.name.as_str(), header.value.as_str()))
            .collect();
        self.inner.respond(status, &headers, body);
    }

    /// starts a response of server-sent events
    pub fn events(self, request: &str) -> Sse {
        let headers = [
            ("content-type", "text/event-stream"),
            ("cache-control", "no-store"),
            ("x-request-id", request),
        ];
        Sse::new(self.inner.stream(200, &headers))
    }
}
