//! Calls to plain services.

use std::time::Duration;

use attohttpc::Method;
use attohttpc::header::{HeaderName, HeaderValue};
use macro_rules_attribute::apply;
use schema::data;
use schema::failure::Verdict;

use crate::body::{read_body, stated_length};
use crate::client::Client;
use crate::failure::{Failure, FailureKind};
use crate::stated::Stated;

/// maximum size of a response body, bytes
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;
/// response header of a service that rejected a request without running any of it
const NOT_RUN: &str = "x-not-run";

/// header of a request or a response
#[apply(data!)]
pub struct Header {
    /// lower-case name
    pub name: String,
    /// value, in visible ASCII characters
    pub value: String,
}

impl Header {
    /// a header from its name, in lower case, and its value
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> Header {
        Header {
            name: name.into(),
            value: value.into(),
        }
    }

    fn parse(&self) -> Result<(HeaderName, HeaderValue), Failure> {
        let invalid = |error: String| Failure::new(FailureKind::Garbled, Verdict::NotRun, error);
        let name =
            HeaderName::from_bytes(self.name.as_bytes()).map_err(|e| invalid(e.to_string()))?;
        let value = HeaderValue::from_str(&self.value).map_err(|e| invalid(e.to_string()))?;
        Ok((name, value))
    }
}

/// request to forward
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// HTTP method
    pub method: &'a str,
    /// path with its leading slash, and query
    pub path: &'a str,
    /// headers to forward
    pub headers: &'a [Header],
    /// complete request body
    pub body: &'a [u8],
}

/// complete response of a service
#[apply(data!)]
pub struct Response {
    /// HTTP status
    pub status: u16,
    /// headers, without those whose values are not visible ASCII
    pub headers: Vec<Header>,
    /// complete response body
    pub body: Vec<u8>,
    /// what the service states about its VM
    pub stated: Stated,
}

impl Client {
    /// forwards a request to the service at `address` and reads the complete response within `limit`
    ///
    /// # Errors
    /// The verdict is `NotRun` when the request was not sent completely, or when the
    /// service states in a header that it ran none of it.
    pub fn call(
        &self,
        address: &str,
        request: &Request<'_>,
        limit: Duration,
    ) -> Result<Response, Failure> {
        let method = Method::from_bytes(request.method.as_bytes()).map_err(|error| {
            Failure::new(FailureKind::Garbled, Verdict::NotRun, error.to_string())
        })?;
        let mut builder = self.request(method, address, request.path, (self.timeouts.plain, limit));
        let mut header_bytes = 0;
        for header in request.headers {
            header_bytes += header.name.len() + header.value.len();
            let (name, value) = header.parse()?;
            builder = builder.header_append(name, value);
        }
        let flag = sent::Flag::new(header_bytes);
        let response = builder.body(sent::Body::new(request.body, &flag)).send();
        let response = response.map_err(|error| Failure::from_http(&error, flag.is_set()))?;
        read(response, request.method == "HEAD")
    }
}

fn read(response: attohttpc::Response, is_head: bool) -> Result<Response, Failure> {
    let status = response.status().as_u16();
    let stated = Stated::read(status, response.headers());
    let headers: Vec<Header> = response
        .headers()
        .iter()
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(Header {
                name: name.as_str().to_owned(),
                value,
            })
        })
        .collect();
    if status == 503 && headers.iter().any(|header| header.name == NOT_RUN) {
        return Err(Failure::new(
            FailureKind::Refused,
            Verdict::NotRun,
            "refused by the service",
        )
        .with_stated(stated));
    }
    let length = stated_length(response.headers()).filter(|_| !is_head);
    let (_, _, reader) = response.split();
    let body = read_body(reader, length, MAX_BODY_BYTES)?;
    Ok(Response {
        status,
        headers,
        body,
        stated,
    })
}
