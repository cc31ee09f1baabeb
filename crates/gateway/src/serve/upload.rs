//! Bodies of requests, read only as far as there is memory for them.
//!
//! A body is needed in full: a request may be sent again to another VM, and what is quarantined is
//! recognised by a hash of the body. A stated length is charged at once or the request is refused;
//! otherwise each part is charged before it is read.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use memory::{Charge, Refused, Waiting};
use tokio::time::{Instant, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

use super::{Failure, Reason};
use crate::listeners::Activity;

/// memory for the first part of a body without a stated length
const FIRST_BYTES: usize = 16 * 1024;

/// longest wait for memory for a further part: others complete or stall meanwhile
const MEMORY_WAIT: Duration = Duration::from_secs(1);

/// shortest `Retry-After` without memory: the time after which stalled callers give theirs back
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// refused callers return spread over this time in addition
const RETRY_SPREAD_MS: u64 = 1000;

/// reads a body, whose memory is released when it is dropped
pub(super) async fn read(
    activity: &Activity,
    id: &str,
    body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Failure> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > max_bytes as u64) {
        return Err(Failure::new(Reason::BodyTooLong));
    }
    let length = length.map(|length| length as usize);
    let charge = activity
        .hold
        .try_charge(length.unwrap_or(FIRST_BYTES.min(max_bytes)));
    let charge = charge.map_err(|refused| failure(refused, id))?;
    activity.begin_body();
    let mut reader = Reader {
        activity,
        id,
        max_bytes,
        length,
        body,
        charge,
    };
    let read = tokio::select! {
        biased;
        read = timeout_at(deadline, reader.read()) => {
            read.unwrap_or(Err(Failure::new(Reason::BodyLost)))
        }
        () = activity.hold.ended() => Err(Failure::new(Reason::BodyStalled)),
    };
    activity.end_body(read.is_ok());
    Ok(reader.charge.attach(read?))
}

/// the failure of a request for which there is no memory
fn failure(refused: Refused, id: &str) -> Failure {
    match refused {
        Refused::Ended => Failure::new(Reason::BodyStalled),
        Refused::Exhausted => {
            let spread = Duration::from_millis(xxh3_64(id.as_bytes()) % RETRY_SPREAD_MS);
            Failure::with_retry_after(Reason::NoMemory, MIN_RETRY_AFTER + spread)
        }
    }
}

struct Reader<'a> {
    activity: &'a Activity,
    id: &'a str,
    max_bytes: usize,
    length: Option<usize>,
    body: Incoming,
    charge: Charge,
}

impl Reader<'_> {
    async fn read(&mut self) -> Result<Bytes, Failure> {
        let Some(first) = self.next().await? else {
            return Ok(Bytes::new());
        };
        if self.body.is_end_stream() {
            self.charge.shrink(first.len());
            return Ok(first);
        }
        let mut bytes = Vec::new();
        self.append(&mut bytes, &first).await?;
        drop(first);
        while let Some(part) = self.next().await? {
            self.append(&mut bytes, &part).await?;
        }
        Ok(Bytes::from(bytes))
    }

    /// the next part of the payload; none at the end
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| Failure::new(Reason::BodyLost))?;
            if let Ok(data) = frame.into_data() {
                self.activity.record_payload(data.len());
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    async fn append(&mut self, bytes: &mut Vec<u8>, part: &[u8]) -> Result<(), Failure> {
        let needed = bytes.len() + part.len();
        if needed > self.max_bytes {
            return Err(Failure::new(Reason::BodyTooLong));
        }
        if needed > bytes.capacity() {
            let capacity = match self.length {
                Some(length) => length.max(needed),
                None => needed
                    .next_power_of_two()
                    .clamp(FIRST_BYTES.min(self.max_bytes), self.max_bytes),
            };
            self.grow(capacity).await?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(part);
        Ok(())
    }

    /// charges the capacity of the buffer
    async fn grow(&mut self, capacity: usize) -> Result<(), Failure> {
        let missing = capacity.saturating_sub(self.charge.bytes());
        if missing == 0 {
            return Ok(());
        }
        let hold = &self.activity.hold;
        // the caller is not to blame for this wait
        hold.set_waiting(Waiting::Nothing);
        let charge = hold.charge_within(missing, MEMORY_WAIT).await;
        hold.set_waiting(Waiting::Body);
        self.charge
            .merge(charge.map_err(|refused| failure(refused, self.id))?);
        Ok(())
    }
}
