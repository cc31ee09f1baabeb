//! Reading of response bodies, complete or not at all.

use std::io::Read;

use attohttpc::header::{CONTENT_LENGTH, HeaderMap};
use schema::failure::Verdict;

use crate::failure::{Failure, FailureKind};

/// length that the headers of a response state
pub fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// reads a body up to `max_bytes`; `length` is what its headers state, which the HTTP library does
/// not compare with what it received
///
/// # Errors
/// When the body is longer than `max_bytes`, shorter than `length`, or its connection breaks.
pub fn read_body(
    reader: impl Read,
    length: Option<u64>,
    max_bytes: u64,
) -> Result<Vec<u8>, Failure> {
    let failure = |kind, detail: String| Failure::new(kind, Verdict::MayHaveRun, detail);
    let mut body = Vec::new();
    let read = reader.take(max_bytes + 1).read_to_end(&mut body);
    read.map_err(|error| Failure::from_io(&error, true))?;
    let received = body.len() as u64;
    if received > max_bytes {
        let detail = format!("the response body exceeds {max_bytes} bytes");
        return Err(failure(FailureKind::Garbled, detail));
    }
    match length {
        Some(length) if length != received => {
            let detail = format!("the response body has {received} of {length} bytes");
            Err(failure(FailureKind::Broken, detail))
        }
        _ => Ok(body),
    }
}
