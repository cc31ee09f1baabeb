//! Client of the cloud API.

use std::time::Duration;

use attohttpc::Method;
use schema::cloud::{List, Notice, Notices, Price, Prices, Start, Vm};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::api::Cloud;
use super::error::Error;
use super::transport::{Answer, Call, Limits, call};

/// time that a wait for notices may take beyond what it asks for
const WAIT_GRACE: Duration = Duration::from_secs(2);

/// code of a refusal for lack of machines
const NO_CAPACITY: &str = "capacity";

/// body of an answer that is no success
#[derive(Debug, Deserialize)]
struct Refusal {
    error: Problem,
}

/// why the cloud did not do as asked
#[derive(Debug, Deserialize)]
struct Problem {
    code: String,
}

/// client of the cloud API; all calls block and have time limits
#[derive(Debug, Clone)]
pub struct Client {
    base: String,
    limits: Limits,
}

impl Client {
    /// a client of `http://address[/prefix]`
    #[must_use]
    pub fn new(base_url: &str) -> Self {
        Client {
            base: base_url.trim_end_matches('/').to_owned(),
            limits: Limits::default(),
        }
    }

    /// sets the time limits of calls
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// waits for reclaim notices after number `since`; none after `wait`
    ///
    /// # Errors
    /// When the call fails.
    pub fn notices(&self, since: u64, wait: Duration) -> Result<Vec<Notice>, Error> {
        let url = format!(
            "{}/v1/notices?since={since}&wait_ms={}",
            self.base,
            wait.as_millis()
        );
        let limit = wait + WAIT_GRACE.max(self.limits.connect);
        let answer = call(
            Call {
                method: Method::GET,
                url: &url,
                body: Vec::new(),
                limit,
            },
            &self.limits,
        )?;
        let notices: Notices = read(&answer)?;
        Ok(notices.notices)
    }

    fn vm_url(&self, name: &str) -> String {
        format!("{}/v1/vms/{name}", self.base)
    }

    fn send(&self, method: Method, url: &str, body: Vec<u8>) -> Result<Answer, Error> {
        call(
            Call {
                method,
                url,
                body,
                limit: self.limits.call,
            },
            &self.limits,
        )
    }
}

impl Cloud for Client {
    fn list(&self) -> Result<Vec<Vm>, Error> {
        let url = format!("{}/v1/vms", self.base);
        let list: List = read(&self.send(Method::GET, &url, Vec::new())?)?;
        Ok(list.vms)
    }

    fn start(&self, name: &str, start: &Start) -> Result<Vm, Error> {
        let body = serde_json::to_vec(start).map_err(|_| Error::Refused(0))?;
        read(&self.send(Method::PUT, &self.vm_url(name), body)?)
    }

    fn remove(&self, name: &str) -> Result<(), Error> {
        let answer = self.send(Method::DELETE, &self.vm_url(name), Vec::new())?;
        match answer.code {
            200..300 | 404 | 410 => Ok(()),
            _ => Err(refusal(&answer)),
        }
    }

    fn prices(&self) -> Result<Vec<Price>, Error> {
        let url = format!("{}/v1/prices", self.base);
        let prices: Prices = read(&self.send(Method::GET, &url, Vec::new())?)?;
        Ok(prices.prices)
    }
}

fn read<T: DeserializeOwned>(answer: &Answer) -> Result<T, Error> {
    if !(200..300).contains(&answer.code) {
        return Err(refusal(answer));
    }
    serde_json::from_slice(&answer.body).map_err(|error| Error::Malformed(error.to_string()))
}

/// what an answer that is no success says
fn refusal(answer: &Answer) -> Error {
    let problem = serde_json::from_slice::<Refusal>(&answer.body);
    let is_capacity = problem.is_ok_and(|refusal| refusal.error.code == NO_CAPACITY);
    match answer.code {
        409 => Error::Taken,
        _ if answer.is_not_run && is_capacity => Error::Capacity,
        code @ 400..500 => Error::Refused(code),
        code if answer.is_not_run => Error::Down(code),
        code => Error::Failed(code),
    }
}
