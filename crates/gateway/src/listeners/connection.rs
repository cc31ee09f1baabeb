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
use memory::{Hold, Waiting};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

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

/// longest time for which the rest of a request that was refused is read
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// bytes of such a request that are read at once
const DISCARD_BYTES: usize = 8192;

/// time after draining starts within which an open connection may send its first request, or
/// complete one whose head has been received in part
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// TCP stream that records received and sent bytes as activity
struct MonitoredStream {
    /// present until it is dropped
    stream: Option<TcpStream>,
    activity: Rc<Activity>,
}

impl MonitoredStream {
    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Ready(Ok(count)) => self.activity.record_write(Some(*count)),
            Poll::Pending => self.activity.record_write(None),
            Poll::Ready(Err(_)) => {}
        }
    }

    fn stream(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        let stream = self.stream.as_mut().map(Pin::new);
        stream.ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl Drop for MonitoredStream {
    fn drop(&mut self) {
        let Some(stream) = self.stream.take() else {
            return;
        };
        if self.activity.must_reset() {
            if let Err(error) = stream.set_zero_linger() {
                tracing::warn!(event = "caller_not_reset", %error);
            }
        } else if self.activity.has_unread_body() {
            *self.activity.remains.borrow_mut() = Some(stream);
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
        let result = self.stream()?.poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        if count > 0 && !self.activity.record_read(count) {
            self.activity.hold.end();
            // whoever waits for the end of the hold closes the connection
            return Poll::Pending;
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
        let result = self.stream()?.poll_write(context, bytes);
        self.record_write(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = self.stream()?.poll_write_vectored(context, slices);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream
            .as_ref()
            .is_some_and(AsyncWrite::is_write_vectored)
    }
}

/// serves one caller connection until it is closed
pub(super) async fn run<D: Dialect>(shared: Rc<Shared<D>>, stream: TcpStream, hold: Hold) {
    let bounds = shared
        .config()
        .map_or_else(Bounds::default, |config| config.bounds);
    let activity = Activity::new(hold);
    serve(&shared, stream, &activity, &bounds).await;
    if activity.hold.is_ended() {
        record_ended(&shared, &activity);
    }
    // tasks that still send to it have to end
    activity.hold.close();
    let remains = activity.remains.take();
    if let Some(stream) = remains {
        discard(&stream, bounds.body_bytes).await;
    }
}

/// counts and logs a connection that has lost its memory
fn record_ended<D: Dialect>(shared: &Shared<D>, activity: &Activity) {
    let reason = match activity.hold.waiting() {
        Waiting::FirstByte => "no_request",
        Waiting::Head => "head",
        Waiting::Body | Waiting::Nothing => "body",
        Waiting::Reading => "response",
    };
    let closed = &shared.metrics.closed;
    closed.with_label_values(&["callers", reason]).inc();
    let Some(left_out) = shared.permit_log("caller_closed") else {
        return;
    };
    tracing::info!(
        event = "caller_closed",
        reason,
        connections = shared.caller_connections.get(),
        held_bytes = shared.memory.held(),
        left_out,
    );
}

/// reads and drops what a caller still sends, so that it can read the response to a body that was
/// not read; closing at once would reset its connection
async fn discard(stream: &TcpStream, max_bytes: usize) {
    let reading = async {
        let mut left = max_bytes;
        while left > 0 && stream.readable().await.is_ok() {
            let mut buffer = [0; DISCARD_BYTES];
            match stream.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(count) => left = left.saturating_sub(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    // a caller that sends for longer is cut off
    let _ = timeout(DISCARD_TIME, reading).await;
}

fn builder(bounds: &Bounds) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(bounds.header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS);
    builder
}

async fn serve<D: Dialect>(
    shared: &Rc<Shared<D>>,
    stream: TcpStream,
    activity: &Rc<Activity>,
    bounds: &Bounds,
) {
    let monitored = MonitoredStream {
        stream: Some(stream),
        activity: Rc::clone(activity),
    };
    let mut stage = shared.stage.subscribe();
    let service = service_fn(|request: Request<Incoming>| {
        let busy = activity.begin_request(request.version());
        // boxed, as the connection would reserve its size also while it is idle
        Box::pin(respond(Rc::clone(shared), request, busy))
    });
    let connection = builder(bounds).serve_connection(TokioIo::new(monitored), service);
    let mut connection = pin!(connection);
    let first_request_deadline = |stage: Stage| {
        stage
            .drain()
            .map(|_| Instant::now() + FIRST_REQUEST_TIMEOUT)
    };
    let mut drain_deadline = first_request_deadline(*stage.borrow());
    let mut is_shutting_down = false;
    let mut refused_until = None;
    loop {
        tokio::select! {
            result = &mut connection => {
                if let Err(error) = result {
                    tracing::debug!(event = "caller_connection_ended", %error);
                }
                return;
            }
            () = activity.hold.ended(), if refused_until.is_none() => {
                if activity.hold.waiting() != Waiting::Body {
                    activity.record_truncated();
                    return;
                }
                // the reader of the body refuses the request
                refused_until = Some(Instant::now() + DISCARD_TIME);
            }
            () = sleep_until(refused_until.unwrap_or_else(Instant::now)),
                if refused_until.is_some() => return,
            () = sleep_until(next_check(activity, bounds)) => {
                match timed_out(activity, bounds) {
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

/// handles a request; its connection ends with the response if the process stops, or if bytes of the
/// request were not read
async fn respond<D: Dialect>(
    shared: Rc<Shared<D>>,
    request: Request<Incoming>,
    busy: BusyGuard,
) -> Result<Response<Body>, Infallible> {
    let mut response = handle(Rc::clone(&shared), request, busy.activity()).await?;
    let has_unread_body = busy.activity().has_unread_body();
    response.body_mut().busy = Some(busy);
    if shared.drain().is_some() || has_unread_body {
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
