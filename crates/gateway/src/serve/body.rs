use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc::Receiver;

use crate::front::BusyGuard;

/// what a relay hands to the caller's connection
#[derive(Debug)]
pub enum Piece {
    /// bytes of the answer
    Bytes(Bytes),
    /// the answer is complete
    End,
}

/// an answer that ended before it was complete; the caller's connection is cut
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the upstream's answer ended before it was complete")
    }
}

impl std::error::Error for Broken {}

/// the body of an answer to a caller
#[derive(Debug)]
pub struct Body {
    source: Source,
    /// marks the connection as busy until the answer is out
    pub(crate) busy: Option<BusyGuard>,
}

#[derive(Debug)]
enum Source {
    Whole(Option<Bytes>),
    Relay(Receiver<Piece>),
    Ended,
}

impl Body {
    /// a body that is at hand
    pub fn whole(bytes: Bytes) -> Body {
        Body {
            source: Source::Whole(Some(bytes).filter(|bytes| !bytes.is_empty())),
            busy: None,
        }
    }

    /// a body that comes piece by piece; broken if the sender goes before the end
    pub fn relay(pieces: Receiver<Piece>) -> Body {
        Body {
            source: Source::Relay(pieces),
            busy: None,
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut self.source {
            Source::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Source::Ended => Poll::Ready(None),
            Source::Relay(pieces) => match pieces.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Piece::Bytes(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Poll::Ready(Some(Piece::End)) => {
                    self.source = Source::Ended;
                    Poll::Ready(None)
                }
                Poll::Ready(None) => {
                    self.source = Source::Ended;
                    Poll::Ready(Some(Err(Broken)))
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, Source::Whole(None) | Source::Ended)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Source::Relay(_) => SizeHint::default(),
            Source::Ended => SizeHint::with_exact(0),
        }
    }
}
