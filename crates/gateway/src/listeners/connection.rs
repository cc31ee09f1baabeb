use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::activity::{Activity, BusyGuard};
use crate::adapter::Dialect;
use crate::model::Bounds;
use crate::serve::{Body, handle};
use crate::shared::Shared;
use crate::stage::Stage;

/// smallest connection buffer that the HTTP library accepts
const MIN_BUFFER_BYTES: usize = 8192;

/// maximum number of headers in a request, as in common HTTP servers
const MAX_HEADERS: usize = 100;

/// time after draining starts within which an open connection may send its first request, or
/// complete one whose head has been received in part
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// TCP stream that records received bytes as activity
struct MonitoredStream {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl Drop for MonitoredStream {
    fn drop(&mut self) {
        if !self.activity.must_reset() {
            return;
        }
        if let Err(error) = self.stream.set_zero_linger() {
            tracing::warn!(event = "caller_not_reset", %error);
        }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.record_read();
        }
        result
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// serves one caller connection until it is closed
pub(super) async fn run<D: Dialect>(shared: Rc<Shared<D>>, stream: TcpStream) {
    let bounds = shared
        .config()
        .map_or_else(Bounds::default, |config| config.bounds);
    let activity = Activity::new();
    let monitored = MonitoredStream {
        stream,
        activity: Rc::clone(&activity),
    };
    let mut stage = shared.stage.subscribe();
    let service = service_fn(|request: Request<Incoming>| {
        let busy = activity.begin_request(request.version());
        respond(Rc::clone(&shared), request, busy)
    });
    let connection = http1::Builder::new()
        .max_buf_size(bounds.header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(monitored), service);
    let mut connection = pin!(connection);
    let first_request_deadline = |stage: Stage| {
        stage
            .drain()
            .map(|_| Instant::now() + FIRST_REQUEST_TIMEOUT)
    };
    let mut drain_deadline = first_request_deadline(*stage.borrow());
    let mut is_shutting_down = false;
    loop {
        tokio::select! {
            result = &mut connection => {
                if let Err(error) = result {
                    tracing::debug!(event = "caller_connection_ended", %error);
                }
                return;
            }
            () = sleep_until(next_check(&activity, &bounds)) => {
                match timed_out(&activity, &bounds) {
                    Some(TimedOut::Head) => return,
                    Some(TimedOut::Idle) => connection.as_mut().graceful_shutdown(),
                    None => {}
                }
            }
            _ = stage.changed(), if drain_deadline.is_none() => {
                drain_deadline = first_request_deadline(*stage.borrow());
            }
            _ = timeout_at(
                drain_deadline.unwrap_or_else(Instant::now),
                activity.wait_until_closable(),
            ),
                if drain_deadline.is_some() && !is_shutting_down =>
            {
                is_shutting_down = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// handles a request; while the process stops, its connection ends with the response
async fn respond<D: Dialect>(
    shared: Rc<Shared<D>>,
    request: Request<Incoming>,
    busy: BusyGuard,
) -> Result<Response<Body>, Infallible> {
    let mut response = handle(Rc::clone(&shared), request).await?;
    response.body_mut().busy = Some(busy);
    if shared.drain().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// time-out that a connection has exceeded
enum TimedOut {
    /// the request head was not complete in time
    Head,
    /// no request in time
    Idle,
}

fn timed_out(activity: &Activity, bounds: &Bounds) -> Option<TimedOut> {
    let now = Instant::now();
    if activity
        .head_since()
        .is_some_and(|since| now >= since + bounds.header_time)
    {
        return Some(TimedOut::Head);
    }
    if activity
        .idle_since()
        .is_some_and(|since| now >= since + bounds.idle_time)
    {
        return Some(TimedOut::Idle);
    }
    None
}

/// when to check the time-outs again
fn next_check(activity: &Activity, bounds: &Bounds) -> Instant {
    /// minimum delay; without it a timer that is due would fire again at once
    const MIN_DELAY: Duration = Duration::from_millis(100);
    let now = Instant::now();
    let head = activity
        .head_since()
        .map(|since| since + bounds.header_time);
    let idle = activity.idle_since().map(|since| since + bounds.idle_time);
    let next = head.or(idle).unwrap_or(now + bounds.idle_time);
    next.min(now + bounds.header_time.max(MIN_DELAY))
        .max(now + MIN_DELAY)
}
