//! Reads server-sent events without decoding them.

use std::io::{self, BufRead, ErrorKind, Read};

/// reads the next event, with its blank line; none at the end of the stream
///
/// # Errors
/// When the event is longer than `max_bytes`, or the connection breaks.
pub fn read_event(reader: &mut impl BufRead, max_bytes: u64) -> io::Result<Option<String>> {
    let mut event = String::new();
    let mut reader = reader.take(max_bytes);
    loop {
        let start = event.len();
        if reader.read_line(&mut event)? == 0 {
            break;
        }
        if matches!(&event[start..], "\n" | "\r\n") {
            return Ok(Some(event));
        }
    }
    if reader.limit() == 0 {
        let cause = format!("an event exceeds {max_bytes} bytes");
        return Err(io::Error::new(ErrorKind::InvalidData, cause));
    }
    Ok(None)
}
