use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::BufMut;
use memory::Overhead;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// most bytes that a server may send before the head of its final response is complete,
/// interim responses included
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// most bytes that are read at once
///
/// The HTTP library doubles its buffer after a read that fills it, and a part of a body keeps the
/// whole buffer in memory for as long as it waits for its caller. This is one byte less than 16 KiB,
/// the size of the buffer at which it stays.
const MAX_READ_BYTES: usize = 16 * 1024 - 1;

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

    /// reads at most [`MAX_READ_BYTES`]
    fn poll_part(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read_buf(&mut buffer.limit(MAX_READ_BYTES)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.0.head_bytes.get() == 0 {
            let cause = format!("no response head within {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        let count = ready!(self.poll_part(context, buffer))?;
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
