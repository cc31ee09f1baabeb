use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::head::{Head, Malformed};

/// bytes per read
const READ_BYTES: usize = 8192;

/// state of the response to the last request
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// it is not sent completely
    Open,
    /// it was sent completely
    Sent,
    /// it ended before it was complete, and only a reset of the connection shows that
    Aborted,
}

/// state of the response to the last request, shared by the body and the transport
#[derive(Debug, Clone)]
pub(crate) struct ResponseState(Rc<Cell<Progress>>);

impl ResponseState {
    pub(crate) fn new() -> ResponseState {
        ResponseState(Rc::new(Cell::new(Progress::Sent)))
    }

    /// records the end of the response, unless it was aborted
    pub(crate) fn end(&self) {
        if self.0.get() == Progress::Open {
            self.0.set(Progress::Sent);
        }
    }

    /// records that the response ended before it was complete
    pub(crate) fn abort(&self) {
        self.0.set(Progress::Aborted);
    }

    fn begin(&self) {
        self.0.set(Progress::Open);
    }
}

/// what the next received byte belongs to
#[derive(Debug, Clone, Copy)]
enum Next {
    Head,
    /// the current request, of which this many bytes remain
    Request(u64),
    /// unknown: the body of a request is chunked, so its end is not visible here and later
    /// requests on the connection are not checked
    Unknown,
}

/// a caller's connection, as the HTTP library reads and writes it
///
/// Buffers the head of a request until it is complete and its framing is unambiguous.
/// Responds to malformed requests itself, since the response of the HTTP library would have
/// no body. Writes fail after the caller has received nothing for the time limit.
pub(crate) struct Transport {
    stream: TcpStream,
    write_timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    response: ResponseState,
    next: Next,
    buffered: Vec<u8>,
    rejection: Option<Vec<u8>>,
    malformed: fn(Malformed) -> Vec<u8>,
}

impl Transport {
    /// `malformed` builds the raw response to a malformed request
    pub(crate) fn new(
        stream: TcpStream,
        write_timeout: Duration,
        response: ResponseState,
        malformed: fn(Malformed) -> Vec<u8>,
    ) -> Transport {
        Transport {
            stream,
            write_timeout,
            timer: None,
            response,
            next: Next::Head,
            buffered: Vec::new(),
            rejection: None,
            malformed,
        }
    }

    /// fails a pending write after the time limit
    fn with_write_timeout<T>(
        &mut self,
        result: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.timer = None;
            return result;
        }
        let write_timeout = self.write_timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep(write_timeout)));
        match timer.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
        }
    }

    /// reads bytes into the buffer; ready with false at the end of the stream
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut chunk = [0; READ_BYTES];
        let mut buffer = ReadBuf::new(&mut chunk);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
        self.buffered.extend_from_slice(buffer.filled());
        Poll::Ready(Ok(!buffer.filled().is_empty()))
    }

    /// reads until the next head is complete or rejected; ready with false at the end of
    /// the stream
    fn poll_head(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        // Pipelined requests wait for the response to the last one. Reading goes on up to
        // the size of the buffer, to notice when the caller disconnects.
        while self.response.0.get() == Progress::Open {
            if self.buffered.len() >= READ_BYTES {
                return Poll::Pending;
            }
            if !ready!(self.poll_fill(context))? {
                return Poll::Ready(Ok(false));
            }
        }
        loop {
            match Head::parse(&self.buffered) {
                Head::Incomplete => {}
                Head::Complete(length) => {
                    self.next = length.map_or(Next::Unknown, Next::Request);
                    self.response.begin();
                    return Poll::Ready(Ok(true));
                }
                Head::Malformed(fault) => {
                    tracing::debug!(event = "request_malformed", ?fault);
                    self.buffered.clear();
                    self.rejection = Some((self.malformed)(fault));
                    return Poll::Ready(Ok(true));
                }
            }
            if !ready!(self.poll_fill(context))? {
                return Poll::Ready(Ok(false));
            }
        }
    }

    /// sends the rejection, then signals the end of the stream to the reader
    fn poll_reject(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Some(bytes) = self.rejection.take_if(|bytes| !bytes.is_empty()) {
            let sent = Pin::new(&mut self.stream).poll_write(context, &bytes);
            let sent = self.with_write_timeout(sent, context);
            let count = match sent {
                Poll::Ready(Ok(count)) => count,
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    self.rejection = Some(bytes);
                    return Poll::Pending;
                }
            };
            self.rejection = Some(bytes[count..].to_vec());
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        if self.response.0.get() != Progress::Aborted {
            return;
        }
        if let Err(error) = self.stream.set_zero_linger() {
            tracing::warn!(event = "caller_not_reset", %error);
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if matches!(self.next, Next::Request(0)) {
            self.next = Next::Head;
        }
        if matches!(self.next, Next::Head)
            && self.rejection.is_none()
            && !ready!(self.poll_head(context))?
        {
            return Poll::Ready(Ok(()));
        }
        if self.rejection.is_some() {
            return self.poll_reject(context);
        }
        if self.buffered.is_empty() && !ready!(self.poll_fill(context))? {
            return Poll::Ready(Ok(()));
        }
        let remaining = match self.next {
            Next::Request(remaining) => usize::try_from(remaining).unwrap_or(usize::MAX),
            Next::Head | Next::Unknown => usize::MAX,
        };
        let count = self.buffered.len().min(buffer.remaining()).min(remaining);
        buffer.put_slice(&self.buffered[..count]);
        self.buffered.drain(..count);
        if let Next::Request(remaining) = &mut self.next {
            *remaining -= count as u64;
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
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.with_write_timeout(result, context)
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
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.with_write_timeout(result, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
