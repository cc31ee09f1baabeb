//! One request of a caller and the way to answer it.

use std::io::{self, Read};

use engine::Header;
use tiny_http::{HTTPVersion, Response, StatusCode};

use super::{Headers, Sse};
use crate::fault::Fault;

/// bounds on a request
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// largest body, bytes
    pub body_bytes: u64,
    /// largest sum of headers, bytes
    pub header_bytes: u64,
}

/// a request that waits for its answer
pub struct Exchange {
    inner: tiny_http::Request,
    /// HTTP method
    pub method: String,
    /// path without the query
    pub path: String,
    /// query without its question mark; empty if there is none
    pub query: String,
    /// checked headers
    pub headers: Headers,
    bounds: Bounds,
}

impl Exchange {
    /// reads the head of a request; a bad one is answered at once
    pub fn read(inner: tiny_http::Request, bounds: Bounds) -> Option<Exchange> {
        let checked = Headers::read(inner.headers(), bounds.header_bytes);
        let (headers, fault) = match checked {
            Ok(headers) => (headers, None),
            Err(fault) => (Headers::default(), Some(fault)),
        };
        let method = inner.method().as_str().to_owned();
        let (path, query) = match inner.url().split_once('?') {
            Some((path, query)) => (path.to_owned(), query.to_owned()),
            None => (inner.url().to_owned(), String::new()),
        };
        let exchange = Exchange {
            inner,
            method,
            path,
            query,
            headers,
            bounds,
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
    /// When it is too large or does not come whole.
    pub fn body(&mut self) -> Result<Vec<u8>, Fault> {
        let most = self.bounds.body_bytes;
        let large = || {
            let message = format!("The body is larger than {most} bytes.");
            Fault::refused(413, "body_size", message)
        };
        if self
            .inner
            .body_length()
            .is_some_and(|length| length as u64 > most)
        {
            return Err(large());
        }
        let mut body = Vec::new();
        let read = self.inner.as_reader().take(most + 1).read_to_end(&mut body);
        if read.is_err() {
            return Err(Fault::refused(400, "body", "The body did not come whole."));
        }
        if body.len() as u64 > most {
            return Err(large());
        }
        if self
            .inner
            .body_length()
            .is_some_and(|length| length != body.len())
        {
            return Err(Fault::refused(400, "body", "The body did not come whole."));
        }
        Ok(body)
    }

    /// answers with JSON
    pub fn json(self, status: u16, body: &str) {
        let kind = Header::new("content-type", "application/json");
        self.respond(status, &[kind], body.as_bytes());
    }

    /// answers with a fault
    pub fn fail(self, fault: &Fault) {
        let mut headers = vec![Header::new("content-type", "application/json")];
        if let Some(delay) = fault.retry_after {
            let seconds = delay.as_millis().div_ceil(1000).max(1);
            headers.push(Header::new("retry-after", seconds.to_string()));
        }
        self.respond(fault.status, &headers, fault.json().as_bytes());
    }

    /// answers with these headers and this body; a caller that has left is no error
    pub fn respond(self, status: u16, headers: &[Header], body: &[u8]) {
        let mut response = Response::from_data(body).with_status_code(StatusCode(status));
        for header in headers {
            let parsed =
                tiny_http::Header::from_bytes(header.name.as_bytes(), header.value.as_bytes());
            if let Ok(header) = parsed {
                response.add_header(header);
            }
        }
        if let Err(error) = self.inner.respond(response) {
            tracing::debug!(%error, "the caller left before its answer");
        }
    }

    /// answers with server-sent events
    ///
    /// # Errors
    /// When the caller has left.
    pub fn events(self, request: &str) -> io::Result<Sse> {
        let chunked = *self.inner.http_version() >= HTTPVersion(1, 1);
        Sse::start(self.inner.into_writer(), request, chunked)
    }
}
