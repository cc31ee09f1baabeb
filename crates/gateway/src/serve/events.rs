//! Cuts a stream of bytes into whole events (`text/event-stream`).

use bytes::{Bytes, BytesMut};

/// most bytes of one event; a stream with a longer one is not an event stream
const EVENT_BYTES: usize = 1024 * 1024;

/// bytes of a stream that do not make a whole event yet
#[derive(Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    scanned: usize,
    last_id: Option<String>,
}

/// whole events, and what was read of them
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// the events' bytes, unchanged
    pub bytes: Bytes,
    /// how many events these are
    pub count: usize,
}

impl Events {
    /// a stream of which nothing has come
    pub fn new() -> Events {
        Events::default()
    }

    /// takes in bytes and returns the events that they complete, if any
    ///
    /// # Errors
    /// When an event is longer than a megabyte.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Batch>, TooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        let mut count = 0;
        while let Some(next) = self.next_end(end) {
            if let Some(id) = event_id(&self.buffer[end..next]) {
                self.last_id = Some(id);
            }
            count += 1;
            end = next;
        }
        if end == 0 {
            self.scanned = self.buffer.len().saturating_sub(3);
            return if self.buffer.len() > EVENT_BYTES {
                Err(TooLong)
            } else {
                Ok(None)
            };
        }
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = self.buffer.len().saturating_sub(3);
        Ok(Some(Batch { bytes, count }))
    }

    /// the bytes after the last whole event
    pub fn rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }

    /// drops the bytes of an event that was cut off
    pub fn discard(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// id of the last whole event that has one
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// the end of the first event from a place on: behind its blank line
    fn next_end(&self, start: usize) -> Option<usize> {
        let buffer = &self.buffer;
        let mut at = start.max(self.scanned);
        while at < buffer.len() {
            if buffer[at] == b'\n' {
                match buffer.get(at + 1..) {
                    Some([b'\n', ..]) => return Some(at + 2),
                    Some([b'\r', b'\n', ..]) => return Some(at + 3),
                    _ => {}
                }
            }
            at += 1;
        }
        None
    }
}

/// an event that is longer than any event may be
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// the id that an event bears
fn event_id(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let mut lines = text.lines().rev();
    let id = lines.find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim().to_owned())
}
