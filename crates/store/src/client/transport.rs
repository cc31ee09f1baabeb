//! One HTTP call with time limits, and the verdict on its failure.

use std::io::Read;
use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder, Response};

use crate::error::Error;

const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// time limits of a call
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// until the connection stands
    pub connect: Duration,
    /// from then until the whole answer is read
    pub call: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            connect: Duration::from_secs(1),
            call: Duration::from_secs(3),
        }
    }
}

/// a call to be made
pub(crate) struct Call<'a> {
    pub(crate) method: Method,
    pub(crate) url: &'a str,
    pub(crate) body: Vec<u8>,
    pub(crate) content: &'static str,
    pub(crate) accept: &'static str,
}

/// an answer, read whole
pub(crate) struct Answer {
    pub(crate) code: u16,
    pub(crate) body: Vec<u8>,
}

/// how calls are made
#[derive(Debug, Clone)]
pub(crate) struct Transport {
    pub(crate) token: String,
    pub(crate) limits: Limits,
}

impl Transport {
    /// makes a call and reads the whole answer
    pub(crate) fn call(&self, call: Call<'_>) -> Result<Answer, Error> {
        let response = self.send(call, self.limits.call)?;
        let (status, _, reader) = response.split();
        let mut body = Vec::new();
        let read = reader.take(MAX_ANSWER_BYTES + 1).read_to_end(&mut body);
        read.map_err(|error| Error::Interrupted(error.to_string()))?;
        if body.len() as u64 > MAX_ANSWER_BYTES {
            return Err(Error::Interrupted("the answer is too long".to_owned()));
        }
        Ok(Answer {
            code: status.as_u16(),
            body,
        })
    }

    /// makes a call whose answer is read as it comes, for `limit` at most
    pub(crate) fn send(&self, call: Call<'_>, limit: Duration) -> Result<Response, Error> {
        let flag = sent::Flag::new(0);
        let unsent = |error: attohttpc::Error| Error::Unreachable(error.to_string());
        let mut request = RequestBuilder::try_new(call.method, call.url)
            .map_err(unsent)?
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(self.limits.connect)
            .read_timeout(limit)
            .timeout(limit)
            .try_header("Content-Type", call.content)
            .map_err(unsent)?
            .try_header("Accept", call.accept)
            .map_err(unsent)?;
        if !self.token.is_empty() {
            let value = format!("Bearer {}", self.token);
            request = request.try_header("Authorization", value).map_err(unsent)?;
        }
        let body = sent::Body::new(&call.body, &flag);
        let sent = request.body(body).send();
        sent.map_err(|error| {
            if flag.is_set() {
                Error::Interrupted(error.to_string())
            } else {
                Error::Unreachable(error.to_string())
            }
        })
    }
}
