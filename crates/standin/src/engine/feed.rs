//! Sends a stream to its reader.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use schema::engine::Chunk;
use web::Request;

use super::shared::Shared;
use super::stream::{Next, Stream};
use crate::http::Sse;

/// longest silence of a stream that waits
const COMMENT_PERIOD: Duration = Duration::from_millis(500);

/// sends `stream` from token `from` until its end or the loss of the connection
pub fn feed(shared: &Shared, stream: &Arc<Stream>, request: Request, from: u32) {
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
    let epoch = shared.epoch();
    let mut sse = Sse::open(request);
    let mut place = from;
    loop {
        let next = stream.next(reader, place as usize, COMMENT_PERIOD);
        if shared.stop.is_set() {
            return Ok(());
        }
        if shared.epoch() != epoch {
            shared.stop.wait();
            return Ok(());
        }
        match next {
            Next::Tokens(tokens) => {
                for text in tokens {
                    sse.event(place, &Chunk { index: place, text })?;
                    place += 1;
                }
            }
            Next::Finish(finish) => {
                sse.named_event("finish", &finish)?;
                return sse.end();
            }
            Next::Silence => sse.comment("waiting")?,
            Next::Replaced => return Ok(()),
        }
    }
}
