//! Client of model engines.

use std::io::Read;
use std::time::Duration;

use attohttpc::header::HeaderValue;
use attohttpc::{Method, RequestBuilder, Response};
use schema::engine::{Completion, Events, Import, Imported, Load, Order};
use schema::failure::Verdict;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::body::{read_body, stated_length};
use crate::failure::{Failure, FailureKind};
use crate::stated::Stated;
use crate::stream::Stream;

/// response header of an engine that rejected a request without running any of it
const NOT_RUN: &str = "x-not-run";
/// time without any data, and time in total, until a call fails
type Limits = (Duration, Duration);

/// largest response to a control call, bytes
const MAX_CONTROL_BYTES: u64 = 16 * 1024 * 1024;
/// largest part of an error's text that is read, bytes
const MAX_ERROR_BYTES: u64 = 4096;

/// limits of a control call
const CONTROL: Limits = (Duration::from_secs(2), Duration::from_secs(2));
/// limits of a KV cache transfer between two engines
const IMPORT: Limits = (Duration::from_secs(5), Duration::from_secs(5));

/// time-outs of calls to upstreams
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// time to open a connection
    pub connect: Duration,
    /// time without any data on an open stream
    pub idle: Duration,
    /// time without any data while a plain service responds
    pub plain: Duration,
}

/// client of model engines and plain services
#[derive(Debug, Clone, Copy)]
pub struct Client {
    pub(crate) timeouts: Timeouts,
}

impl Client {
    /// a client with these time-outs
    pub fn new(timeouts: Timeouts) -> Client {
        Client { timeouts }
    }

    /// starts a stream on the engine at `address`; `trace` is a W3C trace parent, `limit` the longest
    /// time until its end
    ///
    /// # Errors
    /// [`FailureKind::Refused`] when the engine rejected the request without running any of it.
    pub fn open(
        &self,
        address: &str,
        completion: &Completion,
        trace: &str,
        limit: Duration,
    ) -> Result<Stream, Failure> {
        let body = encode(completion)?;
        let idle = self.timeouts.idle;
        let mut request = self.request(Method::POST, address, "/v1/completions", (idle, limit));
        if let Ok(trace) = HeaderValue::from_str(trace) {
            request = request.header("traceparent", trace);
        }
        Stream::new(send(request, &body, 0)?)
    }

    /// attaches to a stream that is already running on the engine, from token `from`; `limit` as for
    /// [`Client::open`]
    ///
    /// # Errors
    /// [`FailureKind::Unknown`] when the engine has no such stream.
    pub fn attach(
        &self,
        address: &str,
        name: &str,
        from: u32,
        limit: Duration,
    ) -> Result<Stream, Failure> {
        let path = format!("/v1/streams/{name}?from={from}");
        let idle = self.timeouts.idle;
        let request = self.request(Method::GET, address, &path, (idle, limit));
        Stream::new(send(request, &[], 0)?)
    }

    /// cancels a stream
    ///
    /// # Errors
    /// When the engine can't be reached or has no such stream.
    pub fn cancel(&self, address: &str, name: &str) -> Result<(), Failure> {
        let path = format!("/v1/streams/{name}");
        let request = self.request(Method::DELETE, address, &path, CONTROL);
        send(request, &[], 0).map(drop)
    }

    /// makes the engine fetch a KV cache from another engine
    ///
    /// # Errors
    /// When either engine can't be reached or the stream is unknown.
    pub fn import_kv_cache(&self, address: &str, import: &Import) -> Result<Imported, Failure> {
        let body = encode(import)?;
        let request = self.request(Method::POST, address, "/v1/kv/import", IMPORT);
        decode(send(request, &body, 0)?)
    }

    /// current load of the engine
    ///
    /// # Errors
    /// When the engine can't be reached.
    pub fn load(&self, address: &str) -> Result<Load, Failure> {
        self.read(address, "/v1/load")
    }

    /// changes of the prefix cache after event number `since`
    ///
    /// # Errors
    /// When the engine can't be reached.
    pub fn cache_events(&self, address: &str, since: u64) -> Result<Events, Failure> {
        self.read(address, &format!("/v1/events?since={since}"))
    }

    /// the last order that the engine accepted
    ///
    /// # Errors
    /// When the engine can't be reached.
    pub fn last_order(&self, address: &str) -> Result<Order, Failure> {
        self.read(address, "/v1/orders")
    }

    /// orders the engine to load a model, under a fencing token
    ///
    /// # Errors
    /// `Status(409)` when the engine has accepted a higher fencing token.
    pub fn order(&self, address: &str, order: &Order) -> Result<(), Failure> {
        let body = encode(order)?;
        let request = self.request(Method::PUT, address, "/v1/orders", CONTROL);
        send(request, &body, 0).map(drop)
    }

    fn read<T: DeserializeOwned>(&self, address: &str, path: &str) -> Result<T, Failure> {
        let request = self.request(Method::GET, address, path, CONTROL);
        decode(send(request, &[], 0)?)
    }

    pub(crate) fn request(
        &self,
        method: Method,
        address: &str,
        path: &str,
        (idle, total): Limits,
    ) -> RequestBuilder {
        RequestBuilder::new(method, format!("http://{address}{path}"))
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(self.timeouts.connect)
            .read_timeout(idle)
            .timeout(total)
    }
}

/// sends a request and maps an error status to a failure
fn send(request: RequestBuilder, body: &[u8], header_bytes: usize) -> Result<Response, Failure> {
    let flag = sent::Flag::new(header_bytes);
    let request = request.header("content-type", "application/json");
    let response = request.body(sent::Body::new(body, &flag)).send();
    let response = response.map_err(|error| Failure::from_http(&error, flag.is_set()))?;
    if response.is_success() {
        return Ok(response);
    }
    Err(status_failure(response))
}

fn status_failure(response: Response) -> Failure {
    let status = response.status().as_u16();
    let not_run = response.headers().contains_key(NOT_RUN);
    let stated = Stated::read(status, response.headers());
    let (_, _, reader) = response.split();
    let mut detail = Vec::new();
    // the status is known also if the text of the error is incomplete
    let _ = reader.take(MAX_ERROR_BYTES).read_to_end(&mut detail);
    let detail = String::from_utf8_lossy(&detail);
    let failure = match status {
        404 => Failure::new(FailureKind::Unknown, Verdict::NotRun, detail),
        _ if not_run => Failure::new(FailureKind::Refused, Verdict::NotRun, detail),
        400..=499 => Failure::new(FailureKind::Status(status), Verdict::NotRun, detail),
        _ => Failure::new(FailureKind::Status(status), Verdict::MayHaveRun, detail),
    };
    failure.with_stated(stated)
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Failure> {
    serde_json::to_vec(value)
        .map_err(|error| Failure::new(FailureKind::Garbled, Verdict::NotRun, error.to_string()))
}

fn decode<T: DeserializeOwned>(response: Response) -> Result<T, Failure> {
    let (_, headers, reader) = response.split();
    let body = read_body(reader, stated_length(&headers), MAX_CONTROL_BYTES)?;
    serde_json::from_slice(&body)
        .map_err(|error| Failure::new(FailureKind::Garbled, Verdict::MayHaveRun, error.to_string()))
}
