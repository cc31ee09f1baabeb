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

/// a stream that counts its bytes
pub(crate) struct Metered<S> {
    stream: S,
    meter: Arc<Meter>,
}

impl<S> Metered<S> {
    pub(crate) fn new(stream: S, meter: Arc<Meter>) -> Metered<S> {
        Metered { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len().saturating_sub(before);
        Meter::add(&self.meter.received_bytes, read);
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
