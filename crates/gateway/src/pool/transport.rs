use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use memory::Overhead;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// most bytes that a server may send before the head of its final response is complete,
/// interim responses included
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// what may still be received: bytes until a head is complete, then as much as payload justifies
#[derive(Debug, Clone)]
pub(super) struct Allowance(Rc<State>);

#[derive(Debug)]
struct State {
    head_bytes: Cell<usize>,
    overhead: Overhead,
}

impl Allowance {
    pub fn new() -> Allowance {
        Allowance(Rc::new(State {
            head_bytes: Cell::new(MAX_HEAD_BYTES),
            overhead: Overhead::default(),
        }))
    }

    /// limits what is received until the next head is complete
    pub fn limit_head(&self) {
        self.0.head_bytes.set(MAX_HEAD_BYTES);
    }

    /// lifts the limit for the body, which its reader limits
    pub fn lift(&self) {
        self.0.head_bytes.set(usize::MAX);
        self.0.overhead.reset();
    }

    /// records bytes of the decoded body
    pub fn record_payload(&self, bytes: usize) {
        self.0.overhead.record_payload(bytes);
    }

    /// records received bytes
    ///
    /// # Errors
    /// When a body consists of framing.
    fn record_received(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.head_bytes.get();
        if left != usize::MAX {
            self.0.head_bytes.set(left.saturating_sub(bytes));
            return Ok(());
        }
        self.0.overhead.record_received(bytes);
        if self.0.overhead.is_excessive() {
            let cause = "hardly any payload in what the body consists of";
            return Err(io::Error::new(io::ErrorKind::InvalidData, cause));
        }
        Ok(())
    }
}

/// TCP stream to a server that fails once the allowance is used up
///
/// The HTTP library skips interim responses, of which a faulty server may send any number.
#[derive(Debug)]
pub(super) struct Transport {
    stream: TcpStream,
    allowance: Allowance,
}

impl Transport {
    pub fn new(stream: TcpStream, allowance: Allowance) -> Transport {
        Transport { stream, allowance }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.0.head_bytes.get() == 0 {
            let cause = format!("no response head within {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        Poll::Ready(self.allowance.record_received(count))
    }
}

impl AsyncWrite for Transport {
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
