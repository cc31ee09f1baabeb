//! Blocking HTTP calls with time-outs.

use std::io::Read;
use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder};

use super::error::Error;

/// maximum size of a response body, bytes; the list of 1000 VMs takes about a quarter of a megabyte
const MAX_BODY_BYTES: u64 = 16 << 20;

/// response header that states that nothing of the call was executed
const NOT_RUN: &str = "x-not-run";

/// time-outs of calls
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// time to open a connection
    pub connect: Duration,
    /// time for a complete call
    pub call: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            connect: Duration::from_secs(1),
            call: Duration::from_secs(5),
        }
    }
}

pub(super) struct Request<'a> {
    pub(super) method: Method,
    pub(super) url: &'a str,
    pub(super) body: Vec<u8>,
    pub(super) timeout: Duration,
}

/// complete response
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
    /// the cloud states that nothing of the call was executed
    pub(super) is_not_run: bool,
}

/// makes a call and reads the complete response
pub(super) fn call(request: Request<'_>, timeouts: &Timeouts) -> Result<Response, Error> {
    let flag = sent::Flag::new(0);
    let unreachable = |error: attohttpc::Error| Error::Unreachable(error.to_string());
    let builder = RequestBuilder::try_new(request.method, request.url)
        .map_err(unreachable)?
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(timeouts.connect)
        .read_timeout(request.timeout)
        .timeout(request.timeout)
        .try_header("Content-Type", "application/json")
        .map_err(unreachable)?;
    let body = sent::Body::new(&request.body, &flag);
    let result = builder.body(body).send();
    let response = result.map_err(|error| {
        if flag.is_set() {
            Error::Interrupted(error.to_string())
        } else {
            Error::Unreachable(error.to_string())
        }
    })?;
    let (status, headers, reader) = response.split();
    let is_not_run = headers.get(NOT_RUN).is_some_and(|value| value == "true");
    let mut body = Vec::new();
    let read = reader.take(MAX_BODY_BYTES + 1).read_to_end(&mut body);
    read.map_err(|error| Error::Interrupted(error.to_string()))?;
    if body.len() as u64 > MAX_BODY_BYTES {
        return Err(Error::Malformed(
            "the response body exceeds 16 MiB".to_owned(),
        ));
    }
    Ok(Response {
        status: status.as_u16(),
        body,
        is_not_run,
    })
}
