//! HTTP requests with time limits; errors tell whether anything was sent.

use std::io::Read;
use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder, Response};

use crate::error::Error;

const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// time limits of a call
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// to establish the connection
    pub connect: Duration,
    /// from then until the complete response is read
    pub call: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            connect: Duration::from_secs(1),
            call: Duration::from_secs(3),
        }
    }
}

/// a request to be sent
pub(crate) struct Request<'a> {
    pub(crate) method: Method,
    pub(crate) url: &'a str,
    pub(crate) body: Vec<u8>,
    pub(crate) content_type: &'static str,
    pub(crate) accept: &'static str,
}

/// a complete, buffered response
pub(crate) struct BufferedResponse {
    pub(crate) code: u16,
    pub(crate) body: Vec<u8>,
}

/// settings of all requests
#[derive(Debug, Clone)]
pub(crate) struct Transport {
    pub(crate) token: String,
    pub(crate) timeouts: Timeouts,
}

impl Transport {
    /// sends a request and reads the complete response
    pub(crate) fn call(&self, request: Request<'_>) -> Result<BufferedResponse, Error> {
        let response = self.send(request, self.timeouts.call)?;
        let (status, _, reader) = response.split();
        let mut body = Vec::new();
        let read = reader.take(MAX_RESPONSE_BYTES + 1).read_to_end(&mut body);
        read.map_err(|error| Error::Interrupted(error.to_string()))?;
        if body.len() as u64 > MAX_RESPONSE_BYTES {
            return Err(Error::Interrupted(format!(
                "response exceeds {MAX_RESPONSE_BYTES} bytes"
            )));
        }
        Ok(BufferedResponse {
            code: status.as_u16(),
            body,
        })
    }

    /// sends a request and returns the response for streaming, within `limit` in total
    pub(crate) fn send(&self, request: Request<'_>, limit: Duration) -> Result<Response, Error> {
        let flag = sent::Flag::new(0);
        let unsent = |error: attohttpc::Error| Error::Unreachable(error.to_string());
        let mut builder = RequestBuilder::try_new(request.method, request.url)
            .map_err(unsent)?
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(self.timeouts.connect)
            .read_timeout(limit)
            .timeout(limit)
            .try_header("Content-Type", request.content_type)
            .map_err(unsent)?
            .try_header("Accept", request.accept)
            .map_err(unsent)?;
        if !self.token.is_empty() {
            let value = format!("Bearer {}", self.token);
            builder = builder.try_header("Authorization", value).map_err(unsent)?;
        }
        let body = sent::Body::new(&request.body, &flag);
        let sent = builder.body(body).send();
        sent.map_err(|error| {
            if flag.is_set() {
                Error::Interrupted(error.to_string())
            } else {
                Error::Unreachable(error.to_string())
            }
        })
    }
}
