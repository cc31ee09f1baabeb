use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, request, response};
use macro_rules_attribute::apply;
use schema::{data, value};

use crate::model::Call;

/// why the head of a request can't be decoded; the text is written to the log
#[apply(data!)]
pub struct Malformed(pub &'static str);

/// per-attempt values that the gateway adds to a request to a VM
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// instance id of the intended VM; any other VM must refuse the request
    pub instance: &'a str,
    /// name of the request's workspace, if it has one
    pub workspace: Option<&'a str>,
    /// time left until the deadline of the request
    pub time_left: Duration,
    /// urgency from 0 (most urgent) to 9
    pub urgency: u8,
    /// id of the last event that the caller received
    pub resume_after: Option<&'a str>,
    /// address of the VM from which the addressed one fetches what it lacks of the prompt
    pub fetch_from: Option<SocketAddr>,
}

/// classification of the head of a VM's response
#[apply(value!)]
pub enum Reply {
    /// the VM's response to this request
    Valid,
    /// the VM states that it did not run the request
    NotRun,
    /// another VM uses the address; it did not run the request
    OtherVm,
    /// not a response to this request, or one that must not be passed on
    Invalid,
}

/// what a VM states about itself in the head of a response
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Notice {
    /// whether it drains
    pub is_draining: bool,
    /// time for which it wants no requests from this daemon, stated with a refusal
    pub back_off: Option<Duration>,
    /// requests per second that it accepts from all daemons together; none without a limit
    pub limit: Option<f64>,
}

/// message format of callers and upstream VMs
pub trait Dialect: 'static {
    /// decodes the head of a caller's request
    fn decode_call(&self, head: &request::Parts) -> Result<Call, Malformed>;

    /// encodes the headers of a request to a VM
    fn request_headers(
        &self,
        head: &request::Parts,
        call: &Call,
        attempt: &Attempt<'_>,
    ) -> HeaderMap;

    /// classifies the head of a VM's response
    fn classify_response(&self, call: &Call, head: &response::Parts) -> Reply;

    /// whether a VM's response states the id of the request
    fn states_id(&self, call: &Call, head: &response::Parts) -> bool;

    /// decodes what a VM states about itself
    fn notice(&self, head: &response::Parts) -> Notice;

    /// selects the headers of a VM's response to pass on to the caller
    fn response_headers(&self, head: &response::Parts) -> HeaderMap;

    /// path at which a VM states its condition
    fn condition_path(&self) -> &'static str;

    /// start time of a VM's process, milliseconds since the Unix epoch, from its stated condition
    fn started_at_ms(&self, condition: &[u8]) -> Option<u64>;

    /// whether a path is that of the readiness check
    fn is_readiness_check(&self, path: &str) -> bool;
}
