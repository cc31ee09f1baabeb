use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::busy::Activity;
use crate::model::Bounds;
use crate::seam::Dialect;
use crate::serve::handle;
use crate::shared::Shared;
use crate::stage::Stage;

/// least size of a connection's buffer that the HTTP library takes
const BUFFER_LEAST: usize = 8192;

/// most headers of a request; common HTTP servers allow as many
const HEADERS: usize = 100;

/// time after the order to stop in which a connection that is open may send its first
/// request; one that comes later could not be finished within the grace
const FIRST_REQUEST: Duration = Duration::from_millis(1500);

/// notes when bytes come
struct Tap {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl AsyncRead for Tap {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.read();
        }
        result
    }
}

impl AsyncWrite for Tap {
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

/// serves one caller's connection until it ends
pub(super) async fn run<D: Dialect>(shared: Rc<Shared<D>>, stream: TcpStream) {
    let bounds = shared
        .config()
        .map_or_else(Bounds::default, |config| config.bounds);
    let activity = Activity::new();
    let tap = Tap {
        stream,
        activity: Rc::clone(&activity),
    };
    let mut stage = shared.stage.subscribe();
    let service = service_fn(|request| {
        let busy = activity.begin();
        let shared = Rc::clone(&shared);
        async move {
            let mut response = handle(shared, request).await?;
            response.body_mut().busy = Some(busy);
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(bounds.header_bytes.max(BUFFER_LEAST))
        .max_headers(HEADERS)
        .serve_connection(TokioIo::new(tap), service);
    let mut connection = pin!(connection);
    let first_by = |stage: Stage| (stage == Stage::Leaving).then(|| Instant::now() + FIRST_REQUEST);
    let mut leaving = first_by(*stage.borrow());
    let mut closing = false;
    loop {
        tokio::select! {
            result = &mut connection => {
                if let Err(error) = result {
                    tracing::debug!(event = "caller_connection_ended", %error);
                }
                return;
            }
            () = sleep_until(next_look(&activity, &bounds)) => {
                match overdue(&activity, &bounds) {
                    Some(Overdue::Head) => return,
                    Some(Overdue::Idle) => connection.as_mut().graceful_shutdown(),
                    None => {}
                }
            }
            _ = stage.changed(), if leaving.is_none() => {
                leaving = first_by(*stage.borrow());
            }
            // a caller that has connected and sent nothing yet is still served
            _ = timeout_at(leaving.unwrap_or_else(Instant::now), activity.first()),
                if leaving.is_some() && !closing =>
            {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// what a connection takes too long for
enum Overdue {
    Head,
    Idle,
}

fn overdue(activity: &Activity, bounds: &Bounds) -> Option<Overdue> {
    let now = Instant::now();
    if activity
        .head_since()
        .is_some_and(|since| now >= since + bounds.header_time)
    {
        return Some(Overdue::Head);
    }
    if activity
        .idle_since()
        .is_some_and(|since| now >= since + bounds.idle_time)
    {
        return Some(Overdue::Idle);
    }
    None
}

/// when to look again whether something is overdue
fn next_look(activity: &Activity, bounds: &Bounds) -> Instant {
    /// keeps a timer that is due from firing again at once
    const LEAST: Duration = Duration::from_millis(100);
    let now = Instant::now();
    let head = activity
        .head_since()
        .map(|since| since + bounds.header_time);
    let idle = activity.idle_since().map(|since| since + bounds.idle_time);
    let due = head.or(idle).unwrap_or(now + bounds.idle_time);
    due.min(now + bounds.header_time.max(LEAST))
        .max(now + LEAST)
}
