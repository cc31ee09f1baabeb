//! Client of the cloud API.

use std::time::Duration;

use attohttpc::Method;
use schema::Entries;
use schema::cloud::{Notice, Price, Start, Vm};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::api::Cloud;
use super::error::Error;
use super::transport::{Request, Response, Timeouts, call};

/// time allowed for a wait for notices in addition to the requested wait
const WAIT_GRACE: Duration = Duration::from_secs(2);

/// error code of a start that was refused for lack of machines
const NO_CAPACITY: &str = "capacity";

/// VMs, as far as they can be decoded
#[derive(Debug, Deserialize)]
struct List {
    vms: Entries<Vm>,
}

#[derive(Debug, Deserialize)]
struct Notices {
    notices: Entries<Notice>,
}

#[derive(Debug, Deserialize)]
struct Prices {
    prices: Entries<Price>,
}

/// body of an error response
#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: ErrorCode,
}

/// cause of an error response
#[derive(Debug, Deserialize)]
struct ErrorCode {
    code: String,
}

/// client of the cloud API; all calls block and have a time-out
#[derive(Debug, Clone)]
pub struct Client {
    base: String,
    timeouts: Timeouts,
}

impl Client {
    /// a client of `http://address[/prefix]`
    #[must_use]
    pub fn new(base_url: &str) -> Self {
        Client {
            base: base_url.trim_end_matches('/').to_owned(),
            timeouts: Timeouts::default(),
        }
    }

    /// sets the time-outs of calls
    #[must_use]
    pub fn timeouts(mut self, timeouts: Timeouts) -> Self {
        self.timeouts = timeouts;
        self
    }

    /// waits up to `wait` for preemption notices with numbers above `since`
    ///
    /// # Errors
    /// When the call fails.
    pub fn notices(&self, since: u64, wait: Duration) -> Result<Vec<Notice>, Error> {
        let url = format!(
            "{}/v1/notices?since={since}&wait_ms={}",
            self.base,
            wait.as_millis()
        );
        let timeout = wait + WAIT_GRACE.max(self.timeouts.connect);
        let response = call(
            Request {
                method: Method::GET,
                url: &url,
                body: Vec::new(),
                timeout,
            },
            &self.timeouts,
        )?;
        let notices: Notices = read(&response)?;
        Ok(sound("notices", notices.notices))
    }

    fn vm_url(&self, name: &str) -> String {
        format!("{}/v1/vms/{name}", self.base)
    }

    fn send(&self, method: Method, url: &str, body: Vec<u8>) -> Result<Response, Error> {
        call(
            Request {
                method,
                url,
                body,
                timeout: self.timeouts.call,
            },
            &self.timeouts,
        )
    }
}

impl Cloud for Client {
    fn list(&self) -> Result<Vec<Vm>, Error> {
        let url = format!("{}/v1/vms", self.base);
        let list: List = read(&self.send(Method::GET, &url, Vec::new())?)?;
        Ok(sound("vms", list.vms))
    }

    fn start(&self, name: &str, start: &Start) -> Result<Vm, Error> {
        let body = serde_json::to_vec(start).map_err(|_| Error::Refused(0))?;
        read(&self.send(Method::PUT, &self.vm_url(name), body)?)
    }

    fn remove(&self, name: &str) -> Result<(), Error> {
        let response = self.send(Method::DELETE, &self.vm_url(name), Vec::new())?;
        match response.status {
            200..300 | 404 | 410 => Ok(()),
            _ => Err(error_of(&response)),
        }
    }

    fn prices(&self) -> Result<Vec<Price>, Error> {
        let url = format!("{}/v1/prices", self.base);
        let prices: Prices = read(&self.send(Method::GET, &url, Vec::new())?)?;
        Ok(sound("prices", prices.prices))
    }
}

/// the entries that could be decoded; the others are logged
fn sound<T>(list: &str, entries: Entries<T>) -> Vec<T> {
    for cause in &entries.errors {
        tracing::warn!(event = "entry_unreadable", list, cause);
    }
    entries.readable
}

fn read<T: DeserializeOwned>(response: &Response) -> Result<T, Error> {
    if !(200..300).contains(&response.status) {
        return Err(error_of(response));
    }
    serde_json::from_slice(&response.body).map_err(|error| Error::Malformed(error.to_string()))
}

/// maps an error response to an error
fn error_of(response: &Response) -> Error {
    let body = serde_json::from_slice::<ErrorBody>(&response.body);
    let is_capacity = body.is_ok_and(|body| body.error.code == NO_CAPACITY);
    match response.status {
        409 => Error::NameTaken,
        _ if response.is_not_run && is_capacity => Error::NoCapacity,
        status @ 400..500 => Error::Refused(status),
        status if response.is_not_run => Error::Unavailable(status),
        status => Error::Failed(status),
    }
}
