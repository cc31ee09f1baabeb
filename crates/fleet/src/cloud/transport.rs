//! Blocking HTTP calls with time limits.

use std::io::Read;
use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder};

use super::error::Error;

/// largest answer, bytes; the list of a thousand VMs is a quarter of a megabyte
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// header of a refusal that comes before anything was done
const NOT_RUN: &str = "x-not-run";

/// time limits of calls
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// longest time to connect
    pub connect: Duration,
    /// longest time for a whole call
    pub call: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            connect: Duration::from_secs(1),
            call: Duration::from_secs(5),
        }
    }
}

/// one call
pub(super) struct Call<'a> {
    pub(super) method: Method,
    pub(super) url: &'a str,
    pub(super) body: Vec<u8>,
    pub(super) limit: Duration,
}

/// an answer, read whole
pub(super) struct Answer {
    pub(super) code: u16,
    pub(super) body: Vec<u8>,
    /// the cloud says that nothing was done
    pub(super) is_not_run: bool,
}

/// makes a call and reads the whole answer
pub(super) fn call(call: Call<'_>, limits: &Limits) -> Result<Answer, Error> {
    let flag = sent::Flag::new(0);
    let unsent = |error: attohttpc::Error| Error::Unreachable(error.to_string());
    let request = RequestBuilder::try_new(call.method, call.url)
        .map_err(unsent)?
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(limits.connect)
        .read_timeout(call.limit)
        .timeout(call.limit)
        .try_header("Content-Type", "application/json")
        .map_err(unsent)?;
    let body = sent::Bytes::new(&call.body, &flag);
    let sent = request.body(body).send();
    let response = sent.map_err(|error| {
        if flag.get() {
            Error::Interrupted(error.to_string())
        } else {
            Error::Unreachable(error.to_string())
        }
    })?;
    let (status, headers, reader) = response.split();
    let is_not_run = headers.get(NOT_RUN).is_some_and(|value| value == "true");
    let mut body = Vec::new();
    let read = reader.take(MAX_ANSWER_BYTES + 1).read_to_end(&mut body);
    read.map_err(|error| Error::Interrupted(error.to_string()))?;
    if body.len() as u64 > MAX_ANSWER_BYTES {
        return Err(Error::Malformed("the answer is too long".to_owned()));
    }
    Ok(Answer {
        code: status.as_u16(),
        body,
        is_not_run,
    })
}
