//! Calls to plain services.

use std::io::Read;

use attohttpc::header::{HeaderName, HeaderValue};
use attohttpc::{Method, Response};
use macro_rules_attribute::apply;
use schema::data;
use schema::failure::Verdict;

use crate::client::Client;
use crate::failure::{Failure, Kind};

/// largest body of an answer, bytes
const ANSWER_LIMIT: u64 = 8 * 1024 * 1024;
/// header by which a service states that a refused request did not run
const NOT_RUN: &str = "x-not-run";

/// a header of a request or an answer
#[apply(data!)]
pub struct Header {
    /// name, in lower case
    pub name: String,
    /// value
    pub value: String,
}

impl Header {
    /// a header of this name and value
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> Header {
        Header {
            name: name.into(),
            value: value.into(),
        }
    }

    fn parse(&self) -> Result<(HeaderName, HeaderValue), Failure> {
        let bad = |error: String| Failure::new(Kind::Garbled, Verdict::NotRun, error);
        let name = HeaderName::from_bytes(self.name.as_bytes()).map_err(|e| bad(e.to_string()))?;
        let value = HeaderValue::from_str(&self.value).map_err(|e| bad(e.to_string()))?;
        Ok((name, value))
    }
}

/// a call to pass on
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// HTTP method
    pub method: &'a str,
    /// path and query, with its leading slash
    pub path: &'a str,
    /// headers to pass on
    pub headers: &'a [Header],
    /// body
    pub body: &'a [u8],
}

/// the service's answer
#[apply(data!)]
pub struct Answer {
    /// HTTP status
    pub status: u16,
    /// headers
    pub headers: Vec<Header>,
    /// body
    pub body: Vec<u8>,
}

impl Client {
    /// passes a call on to the service at `address` and reads the whole answer
    ///
    /// # Errors
    /// The verdict is `NotRun` when the request did not leave whole, or the
    /// service states by header that it ran nothing.
    pub fn call(&self, address: &str, call: &Call<'_>) -> Result<Answer, Failure> {
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|error| Failure::new(Kind::Garbled, Verdict::NotRun, error.to_string()))?;
        let mut request = self.request(method, address, call.path, self.pace.plain);
        let mut size = 0;
        for header in call.headers {
            size += header.name.len() + header.value.len();
            let (name, value) = header.parse()?;
            request = request.header_append(name, value);
        }
        let flag = sent::Flag::new(size);
        let answer = request.body(sent::Bytes::new(call.body, &flag)).send();
        let answer = answer.map_err(|error| Failure::from_http(&error, flag.get()))?;
        read(answer, call.method == "HEAD")
    }
}

fn read(answer: Response, is_head: bool) -> Result<Answer, Failure> {
    let status = answer.status().as_u16();
    let headers: Vec<Header> = answer
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
            Kind::Refused,
            Verdict::NotRun,
            "refused by the service",
        ));
    }
    let mut body = Vec::new();
    let (_, _, reader) = answer.split();
    let read = reader.take(ANSWER_LIMIT + 1).read_to_end(&mut body);
    read.map_err(|error| Failure::from_io(&error, true))?;
    if body.len() as u64 > ANSWER_LIMIT {
        return Err(Failure::new(
            Kind::Garbled,
            Verdict::MayHaveRun,
            "the answer is too large",
        ));
    }
    let length = declared(&headers).filter(|_| !is_head);
    if length.is_some_and(|length| length != body.len() as u64) {
        let detail = "the answer is cut off";
        return Err(Failure::new(Kind::Broken, Verdict::MayHaveRun, detail));
    }
    Ok(Answer {
        status,
        headers,
        body,
    })
}

/// the declared length of a body, which the HTTP library doesn't compare
fn declared(headers: &[Header]) -> Option<u64> {
    let header = headers
        .iter()
        .find(|header| header.name == "content-length")?;
    header.value.parse().ok()
}
