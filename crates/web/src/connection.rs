use std::fmt;
use std::future::{Future, pending};
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::body::{Body, Source};
use crate::fallback::Fallback;
use crate::head::MAX_HEADERS;
use crate::listener::Timeouts;
use crate::request::{BodyError, Command, Request};
use crate::transport::{ResponseState, Transport};

/// callbacks of the program that uses the listener
#[derive(Debug, Clone, Copy)]
pub(crate) struct Callbacks<H> {
    /// passes a request to a handler thread; must not block
    pub handle: H,
    /// responses without the handler
    pub fallback: Fallback,
}

/// the handler dropped a request without a response
#[derive(Debug)]
struct Dropped;

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the handler dropped the request without a response")
    }
}

impl std::error::Error for Dropped {}

/// serves one connection until it closes; after a shutdown, only finishes the response in flight
pub(crate) async fn run<H>(
    stream: TcpStream,
    timeouts: Timeouts,
    callbacks: Callbacks<H>,
    mut shutdown: watch::Receiver<Option<Duration>>,
) where
    H: Fn(Request),
{
    let state = ResponseState::new();
    let malformed = callbacks.fallback.malformed;
    let transport = Transport::new(stream, timeouts.write, state.clone(), malformed);
    let stopping = shutdown.clone();
    let service = service_fn(|request: hyper::Request<Incoming>| {
        let state = state.clone();
        let version = request.version();
        let serving = serve(request, timeouts, &callbacks.handle);
        let response = unless_interrupted(stopping.clone(), &callbacks.fallback, serving);
        async move {
            let response = response.await?;
            Ok::<_, Dropped>(response.map(|source| Body::new(source, version, state)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(timeouts.head)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(transport), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = &mut connection => result,
        // an error means that the listener was dropped
        _ = shutdown.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(event = "caller_connection_ended", %error);
    }
}

/// part of the time for a shutdown in which handlers may still respond
const HANDLER_FRACTION: f64 = 0.5;

/// the handler's response, or the fallback if the server shuts down before
async fn unless_interrupted(
    mut shutdown: watch::Receiver<Option<Duration>>,
    fallback: &Fallback,
    serving: impl Future<Output = Result<Response<Source>, Dropped>>,
) -> Result<Response<Source>, Dropped> {
    let interrupted = async {
        let grace = match shutdown.wait_for(Option::is_some).await {
            Ok(grace) => grace.filter(|grace| !grace.is_zero()),
            // the listener was dropped, and with it all connections
            Err(_) => None,
        };
        match grace {
            Some(grace) => sleep(grace.mul_f64(HANDLER_FRACTION)).await,
            None => pending().await,
        }
    };
    tokio::select! {
        biased;
        response = serving => response,
        () = interrupted => {
            tracing::info!(event = "request_interrupted", cause = "shutdown");
            Ok((fallback.interrupted)().map(Source::complete))
        }
    }
}

/// passes a request to the handler and executes its commands until it responds
async fn serve<H>(
    request: hyper::Request<Incoming>,
    timeouts: Timeouts,
    handle: &H,
) -> Result<Response<Source>, Dropped>
where
    H: Fn(Request),
{
    let (head, body) = request.into_parts();
    let (sender, mut commands) = unbounded_channel();
    handle(Request::new(head, sender));
    let mut body = Some(body);
    while let Some(command) = commands.recv().await {
        match command {
            Command::Respond(response) => return Ok(response),
            Command::Read(max_bytes, done) => {
                let result = read(body.take(), max_bytes, timeouts).await;
                // an error means that the handler is no longer waiting
                drop(done.send(result));
            }
        }
    }
    Err(Dropped)
}

async fn read(
    body: Option<Incoming>,
    max_bytes: usize,
    timeouts: Timeouts,
) -> Result<Bytes, BodyError> {
    let Some(body) = body else {
        return Ok(Bytes::new());
    };
    match timeout(timeouts.body, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) | Err(_) => Err(BodyError::Incomplete),
    }
}
