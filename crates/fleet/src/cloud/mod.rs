//! The client of the cloud API.

use std::time::Duration;

use schema::cloud::{List, Notices};
use serde::de::DeserializeOwned;

/// longest wait for a connection or an answer
const TIMEOUT: Duration = Duration::from_secs(2);

/// calls the cloud API
#[derive(Debug, Clone)]
pub struct Client {
    base: String,
}

impl Client {
    /// a client of the API at a base URL
    pub fn new(base: &str) -> Client {
        Client {
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// all VMs
    ///
    /// # Errors
    /// When the API can't be reached.
    pub fn list(&self) -> Result<List, attohttpc::Error> {
        self.read("/v1/vms", Duration::ZERO)
    }

    /// notices after a number; waits for one
    ///
    /// # Errors
    /// When the API can't be reached.
    pub fn notices(&self, since: u64, wait: Duration) -> Result<Notices, attohttpc::Error> {
        let path = format!("/v1/notices?since={since}&wait_ms={}", wait.as_millis());
        self.read(&path, wait)
    }

    fn read<T: DeserializeOwned>(&self, path: &str, wait: Duration) -> Result<T, attohttpc::Error> {
        attohttpc::get(format!("{}{path}", self.base))
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .connect_timeout(TIMEOUT)
            .read_timeout(wait + TIMEOUT)
            .send()?
            .error_for_status()?
            .json_utf8()
    }
}
