//! Listener for callers and its pool of worker threads.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, TrySendError, bounded};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use web::{Fallback, Listener, Malformed, Request, Timeouts};

use crate::call;
use crate::context::Context;
use crate::fault::Fault;
use crate::http::{Exchange, SizeLimits};

/// stack of a worker thread, bytes
const STACK_BYTES: usize = 512 * 1024;
/// retry delay for a caller when all workers are busy
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// responses that need no worker
const FALLBACK: Fallback = Fallback {
    malformed,
    interrupted,
};

/// why the listener could not start
#[derive(Debug)]
pub enum Error {
    /// the address can't be bound
    Bind(String),
    /// a thread can't be started
    Thread(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Bind(cause) => {
                write!(f, "The address for callers can't be bound: {cause}.")
            }
            Error::Thread(cause) => {
                write!(f, "A thread that serves callers can't be started: {cause}.")
            }
        }
    }
}

impl std::error::Error for Error {}

/// a bound listener for callers that does not accept requests yet
pub struct Server {
    listener: Listener,
    size_limits: SizeLimits,
}

impl Server {
    /// binds an address
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn bind(address: &str, size_limits: SizeLimits) -> Result<Server, Error> {
        let bind_error = |error: io::Error| Error::Bind(error.to_string());
        let listener = Listener::bind(address).map_err(bind_error)?;
        Ok(Server {
            listener,
            size_limits,
        })
    }

    /// bound address
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// starts the workers and serves callers until the returned value is dropped
    ///
    /// Up to `queue_length` requests are queued for the workers; further ones are rejected.
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(
        self,
        context: &Arc<Context>,
        workers: u32,
        queue_length: u32,
    ) -> Result<web::Server, Error> {
        let (sender, receiver) = bounded(queue_length as usize);
        for number in 0..workers {
            let context = Arc::clone(context);
            let receiver = receiver.clone();
            let size_limits = self.size_limits;
            spawn(&format!("worker-{number}"), move || {
                run_worker(&context, &receiver, size_limits)
            })?;
        }
        let size_limits = self.size_limits;
        let context = Arc::clone(context);
        let enqueue = move |request| {
            context.metrics.in_flight.inc();
            match sender.try_send(request) {
                Ok(()) => return,
                Err(TrySendError::Full(request)) => reject(request, size_limits),
                Err(TrySendError::Disconnected(_)) => {
                    tracing::error!(
                        event = "request_dropped",
                        cause = "all worker threads have ended"
                    );
                }
            }
            context.metrics.in_flight.dec();
        };
        let server = self.listener.start(Timeouts::default(), enqueue, FALLBACK);
        server.map_err(Error::Thread)
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), Error> {
    let builder = thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES);
    builder.spawn(run).map(drop).map_err(Error::Thread)
}

fn run_worker(context: &Context, requests: &Receiver<Request>, size_limits: SizeLimits) {
    let _runtime = context.runtime.enter();
    for request in requests {
        if let Some(exchange) = Exchange::read(request, size_limits) {
            call::handle(context, exchange);
        }
        context.metrics.in_flight.dec();
    }
}

fn reject(request: Request, size_limits: SizeLimits) {
    let message = "The daemon has too many requests in flight.";
    let fault = Fault::not_run(503, "busy", message).with_retry_after(BUSY_RETRY_AFTER);
    if let Some(exchange) = Exchange::read(request, size_limits) {
        exchange.fail(&fault);
    }
}

/// raw response to a malformed request
fn malformed(cause: Malformed) -> Vec<u8> {
    let fault = match cause {
        Malformed::NotHttp => Fault::not_run(400, "request", "The bytes are no HTTP request."),
        Malformed::TooLarge => Fault::not_run(431, "headers", "The request's head is too large."),
        Malformed::BodyLength => {
            let message = "The length of the request's body is stated more than once or wrongly.";
            Fault::not_run(400, "header", message)
        }
    };
    let body = fault.json();
    let head = format!(
        "HTTP/1.1 {} {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n",
        fault.status,
        if fault.status == 431 {
            "Request Header Fields Too Large"
        } else {
            "Bad Request"
        },
        body.len()
    );
    (head + &body).into_bytes()
}

/// response to a request that is still in progress when the daemon exits
fn interrupted() -> Response<Vec<u8>> {
    let message = "The daemon stopped before the request had a response.";
    let fault = Fault::may_have_run(502, "stopped", message);
    let mut response = Response::new(fault.json().into_bytes());
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
