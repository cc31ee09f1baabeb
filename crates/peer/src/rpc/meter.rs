use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// counters of bytes, calls and connections
#[derive(Debug, Default)]
pub struct Meter {
    /// bytes written to sockets
    pub sent_bytes: AtomicU64,
    /// bytes read from sockets
    pub received_bytes: AtomicU64,
    /// calls to other daemons
    pub calls: AtomicU64,
    /// calls to other daemons that failed
    pub failures: AtomicU64,
    /// calls from other daemons and operators
    pub served: AtomicU64,
    /// connections opened to other daemons
    pub connections: AtomicU64,
}

impl Meter {
    pub(crate) fn add(counter: &AtomicU64, count: usize) {
        counter.fetch_add(count as u64, Ordering::Relaxed);
    }
}

/// most bytes that may be received before a connection is established
const MAX_HANDSHAKE_BYTES: u64 = 64 * 1024;

/// a stream that counts its bytes, and fails if it receives too many before it is established
pub(crate) struct Metered<S> {
    stream: S,
    meter: Arc<Meter>,
    handshake: Handshake,
}

/// whether a connection is established, and what it may receive until then
///
/// The WebSocket client collects the response to its handshake without a limit.
#[derive(Debug, Clone)]
pub(crate) struct Handshake(Arc<AtomicU64>);

impl Handshake {
    pub(crate) fn new() -> Handshake {
        Handshake(Arc::new(AtomicU64::new(MAX_HANDSHAKE_BYTES)))
    }

    /// lifts the limit; from here on the protocol limits messages
    pub(crate) fn complete(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }

    fn left(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn take(&self, count: usize) {
        let take = |left: u64| (left != u64::MAX).then(|| left.saturating_sub(count as u64));
        // an error means that there is no limit
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
    }
}

impl<S> Metered<S> {
    pub(crate) fn new(stream: S, meter: Arc<Meter>, handshake: Handshake) -> Metered<S> {
        Metered {
            stream,
            meter,
            handshake,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.handshake.left() == 0 {
            let cause = format!("no handshake within {MAX_HANDSHAKE_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len().saturating_sub(before);
        Meter::add(&self.meter.received_bytes, read);
        self.handshake.take(read);
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &poll {
            Meter::add(&self.meter.sent_bytes, *written);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
