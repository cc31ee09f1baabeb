//! Sends the tokens of a stream to its reader as server-sent events.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use schema::engine::Chunk;
use web::Request;

use super::shared::Shared;
use super::stream::{Next, Stream};
use crate::http::Sse;

/// time without tokens after which a comment is sent
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(500);

/// sends `stream` from token `from` until it ends or the connection is lost
pub fn deliver(shared: &Shared, stream: &Arc<Stream>, request: Request, from: u32) {
    let reader = stream.attach();
    if send(shared, stream, request, (reader, from)).is_err() {
        stream.detach(reader);
    }
}

fn send(
    shared: &Shared,
    stream: &Stream,
    request: Request,
    (reader, from): (u64, u32),
) -> io::Result<()> {
    let freeze_epoch = shared.freeze_epoch();
    let limit = shared.faults().limit.map(|limit| limit.to_string());
    let stated = limit.as_deref().map(|limit| ("X-Request-Limit", limit));
    let mut sse = Sse::open(request, stated);
    let mut index = from;
    loop {
        let next = stream.next(reader, index as usize, KEEP_ALIVE_PERIOD);
        if shared.stop.is_set() {
            return Ok(());
        }
        if shared.freeze_epoch() != freeze_epoch {
            shared.stop.wait();
            return Ok(());
        }
        match next {
            Next::Tokens(tokens) => {
                for text in tokens {
                    sse.event(index, &Chunk { index, text })?;
                    index += 1;
                }
            }
            Next::Finish(finish) => {
                sse.named_event("finish", &finish)?;
                return sse.end();
            }
            Next::TimedOut => sse.comment("waiting")?,
            Next::Replaced => return Ok(()),
        }
    }
}
