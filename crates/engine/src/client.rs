//! The client of model engines.

use std::time::Duration;

use attohttpc::header::HeaderValue;
use attohttpc::{Method, RequestBuilder, Response};
use schema::engine::{Completion, Events, Import, Imported, Load, Order};
use schema::failure::Verdict;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::failure::{Failure, Kind};
use crate::stream::Stream;

/// header by which an engine states that a refused request did not run
const NOT_RUN: &str = "x-not-run";
/// longest wait for the answer of a control call
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// longest move of a KV cache between two engines
const IMPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// time-outs towards upstreams
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// longest wait for a connection
    pub connect: Duration,
    /// longest silence on an open stream
    pub silence: Duration,
    /// longest wait for the answer of a plain service
    pub plain: Duration,
}

/// calls model engines and plain services
#[derive(Debug, Clone, Copy)]
pub struct Client {
    pub(crate) pace: Pace,
}

impl Client {
    /// a client with these time-outs
    pub fn new(pace: Pace) -> Client {
        Client { pace }
    }

    /// starts a stream on the engine at `address`, under a W3C trace parent
    ///
    /// # Errors
    /// [`Kind::Refused`] when the engine states that it ran nothing.
    pub fn open(
        &self,
        address: &str,
        completion: &Completion,
        trace: &str,
    ) -> Result<Stream, Failure> {
        let body = encode(completion)?;
        let mut request = self.request(Method::POST, address, "/v1/completions", self.pace.silence);
        if let Ok(trace) = HeaderValue::from_str(trace) {
            request = request.header("traceparent", trace);
        }
        Stream::new(send(request, &body, 0)?)
    }

    /// attaches to a stream that the engine already runs, from token `from`
    ///
    /// # Errors
    /// [`Kind::Unknown`] when the engine has no such stream.
    pub fn attach(&self, address: &str, name: &str, from: u32) -> Result<Stream, Failure> {
        let path = format!("/v1/streams/{name}?from={from}");
        let request = self.request(Method::GET, address, &path, self.pace.silence);
        Stream::new(send(request, &[], 0)?)
    }

    /// stops a stream
    ///
    /// # Errors
    /// When the engine can't be reached or has no such stream.
    pub fn cancel(&self, address: &str, name: &str) -> Result<(), Failure> {
        let path = format!("/v1/streams/{name}");
        let request = self.request(Method::DELETE, address, &path, CONTROL_TIMEOUT);
        send(request, &[], 0).map(drop)
    }

    /// has the engine fetch a KV cache from another engine
    ///
    /// # Errors
    /// When either engine can't be reached or the stream is unknown.
    pub fn import(&self, address: &str, import: &Import) -> Result<Imported, Failure> {
        let body = encode(import)?;
        let request = self.request(Method::POST, address, "/v1/kv/import", IMPORT_TIMEOUT);
        decode(send(request, &body, 0)?)
    }

    /// the engine's load report
    ///
    /// # Errors
    /// When the engine can't be reached.
    pub fn load(&self, address: &str) -> Result<Load, Failure> {
        self.read(address, "/v1/load")
    }

    /// changes of the prefix cache since a number
    ///
    /// # Errors
    /// When the engine can't be reached.
    pub fn events(&self, address: &str, since: u64) -> Result<Events, Failure> {
        self.read(address, &format!("/v1/events?since={since}"))
    }

    /// the state last ordered
    ///
    /// # Errors
    /// When the engine can't be reached.
    pub fn ordered(&self, address: &str) -> Result<Order, Failure> {
        self.read(address, "/v1/orders")
    }

    /// orders a state
    ///
    /// # Errors
    /// `Status(409)` when the engine refuses the fencing number.
    pub fn order(&self, address: &str, order: &Order) -> Result<(), Failure> {
        let body = encode(order)?;
        let request = self.request(Method::PUT, address, "/v1/orders", CONTROL_TIMEOUT);
        send(request, &body, 0).map(drop)
    }

    fn read<T: DeserializeOwned>(&self, address: &str, path: &str) -> Result<T, Failure> {
        let request = self.request(Method::GET, address, path, CONTROL_TIMEOUT);
        decode(send(request, &[], 0)?)
    }

    pub(crate) fn request(
        &self,
        method: Method,
        address: &str,
        path: &str,
        silence: Duration,
    ) -> RequestBuilder {
        RequestBuilder::new(method, format!("http://{address}{path}"))
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(self.pace.connect)
            .read_timeout(silence)
    }
}

/// sends a request; an error status becomes a failure
fn send(request: RequestBuilder, body: &[u8], headers: usize) -> Result<Response, Failure> {
    let flag = sent::Flag::new(headers);
    let request = request.header("content-type", "application/json");
    let answer = request.body(sent::Bytes::new(body, &flag)).send();
    let answer = answer.map_err(|error| Failure::from_http(&error, flag.get()))?;
    if answer.is_success() {
        return Ok(answer);
    }
    Err(refusal(answer))
}

fn refusal(answer: Response) -> Failure {
    let status = answer.status().as_u16();
    let not_run = answer.headers().contains_key(NOT_RUN);
    let detail = answer.text_utf8().unwrap_or_default();
    match status {
        404 => Failure::new(Kind::Unknown, Verdict::NotRun, detail),
        _ if not_run => Failure::new(Kind::Refused, Verdict::NotRun, detail),
        400..=499 => Failure::new(Kind::Status(status), Verdict::NotRun, detail),
        _ => Failure::new(Kind::Status(status), Verdict::MayHaveRun, detail),
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Failure> {
    serde_json::to_vec(value)
        .map_err(|error| Failure::new(Kind::Garbled, Verdict::NotRun, error.to_string()))
}

fn decode<T: DeserializeOwned>(answer: Response) -> Result<T, Failure> {
    answer
        .json_utf8()
        .map_err(|error| Failure::from_http(&error, true))
}
