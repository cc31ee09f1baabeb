use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc::Receiver;

use crate::listeners::BusyGuard;

/// part of a streamed response body
#[derive(Debug)]
pub enum Chunk {
    /// bytes of the body
    Bytes(Bytes),
    /// the body is complete
    End,
}

/// the upstream's response ended before it was complete; the caller's connection is closed
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "upstream response ended before it was complete")
    }
}

impl std::error::Error for Truncated {}

/// body of a response to a caller
#[derive(Debug)]
pub struct Body {
    source: Source,
    /// marks the connection as busy until the response is written
    pub(crate) busy: Option<BusyGuard>,
}

#[derive(Debug)]
enum Source {
    Buffered(Option<Bytes>),
    Streamed(Receiver<Chunk>),
    Ended,
}

impl Body {
    /// creates a body from complete bytes
    pub fn buffered(bytes: Bytes) -> Body {
        Body {
            source: Source::Buffered(Some(bytes).filter(|bytes| !bytes.is_empty())),
            busy: None,
        }
    }

    /// creates a body from chunks; truncated if the sender is dropped before [`Chunk::End`]
    pub fn streamed(chunks: Receiver<Chunk>) -> Body {
        Body {
            source: Source::Streamed(chunks),
            busy: None,
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut self.source {
            Source::Buffered(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            Source::Ended => Poll::Ready(None),
            Source::Streamed(chunks) => match chunks.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Chunk::Bytes(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Poll::Ready(Some(Chunk::End)) => {
                    self.source = Source::Ended;
                    Poll::Ready(None)
                }
                Poll::Ready(None) => {
                    self.source = Source::Ended;
                    if let Some(busy) = &self.busy {
                        busy.record_truncated();
                    }
                    Poll::Ready(Some(Err(Truncated)))
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, Source::Buffered(None) | Source::Ended)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Source::Streamed(_) => SizeHint::default(),
            Source::Ended => SizeHint::with_exact(0),
        }
    }
}
