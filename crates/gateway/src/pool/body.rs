use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

use super::transport::Allowance;

/// body of a response; its connection fails if hardly anything of what it receives is payload
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    allowance: Allowance,
}

impl Body {
    pub(super) fn new(incoming: Incoming, allowance: Allowance) -> Body {
        Body {
            incoming,
            allowance,
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.allowance.record_payload(data.len());
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
