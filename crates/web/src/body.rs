use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc::Receiver;

use http::Version;

use crate::transport::ResponseState;

/// part of a response that the handler writes chunk by chunk
#[derive(Debug)]
pub(crate) enum Chunk {
    Bytes(Bytes),
    End,
}

/// the handler dropped its writer before the end; the connection is closed
#[derive(Debug, Clone, Copy)]
pub(crate) struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the handler dropped the response writer before the end of the body")
    }
}

impl std::error::Error for Aborted {}

/// where the bytes of a response come from
#[derive(Debug)]
pub(crate) enum Source {
    Complete(Option<Bytes>),
    Chunks(Receiver<Chunk>),
    Ended,
}

impl Source {
    pub(crate) fn complete(bytes: Vec<u8>) -> Source {
        Source::Complete(Some(Bytes::from(bytes)).filter(|bytes| !bytes.is_empty()))
    }
}

/// body of a response; marks the response as sent when the HTTP library drops it
#[derive(Debug)]
pub(crate) struct Body {
    source: Source,
    version: Version,
    state: ResponseState,
}

impl Body {
    /// `version` is that of the request
    pub(crate) fn new(source: Source, version: Version, state: ResponseState) -> Body {
        Body {
            source,
            version,
            state,
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let next = match &mut self.source {
            Source::Complete(bytes) => {
                return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))));
            }
            Source::Ended => return Poll::Ready(None),
            Source::Chunks(chunks) => chunks.poll_recv(context),
        };
        let frame = match next {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Some(Chunk::Bytes(bytes))) => {
                return Poll::Ready(Some(Ok(Frame::data(bytes))));
            }
            Poll::Ready(Some(Chunk::End)) => None,
            Poll::Ready(None) => {
                // without chunks the regular end of the connection would complete the response
                if self.version < Version::HTTP_11 {
                    self.state.abort();
                }
                Some(Err(Aborted))
            }
        };
        self.source = Source::Ended;
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, Source::Complete(None) | Source::Ended)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Source::Chunks(_) => SizeHint::default(),
            Source::Ended => SizeHint::with_exact(0),
        }
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.state.end();
    }
}
