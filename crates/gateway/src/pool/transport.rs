use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// most bytes that a server may send before the head of its final response is complete,
/// interim responses included
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// bytes that may still be received; unlimited while a body is read
#[derive(Debug, Clone)]
pub(super) struct Allowance(Rc<Cell<usize>>);

impl Allowance {
    pub fn new() -> Allowance {
        Allowance(Rc::new(Cell::new(MAX_HEAD_BYTES)))
    }

    /// limits what is received until the next head is complete
    pub fn limit_head(&self) {
        self.0.set(MAX_HEAD_BYTES);
    }

    /// lifts the limit for the body, which its reader limits
    pub fn lift(&self) {
        self.0.set(usize::MAX);
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
        let left = self.allowance.0.get();
        if left == 0 {
            let cause = format!("no response head within {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        if left != usize::MAX {
            self.allowance.0.set(left.saturating_sub(count));
        }
        Poll::Ready(Ok(()))
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
