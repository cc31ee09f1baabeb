//! Splits a byte stream into complete server-sent events (`text/event-stream`).

use bytes::{Bytes, BytesMut};

/// maximum size of one event; a stream with a longer one is not an event stream
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// buffer for the bytes of a stream after its last complete event
#[derive(Debug, Default)]
pub struct EventBuffer {
    buffer: BytesMut,
    scanned: usize,
    last_id: Option<String>,
}

/// complete events
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// bytes of the events, unchanged
    pub bytes: Bytes,
    /// number of events
    pub count: usize,
    /// whether one of them has data; an event of comments only keeps the connection alive
    pub has_data: bool,
}

impl EventBuffer {
    /// creates an empty buffer
    pub fn new() -> EventBuffer {
        EventBuffer::default()
    }

    /// appends bytes and returns the events that they complete, if any
    ///
    /// # Errors
    /// When an event is longer than 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Batch>, TooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        let mut count = 0;
        let mut has_data = false;
        while let Some(next) = self.next_end(end) {
            if let Some(id) = event_id(&self.buffer[end..next]) {
                self.last_id = Some(id);
            }
            has_data |= has_field(&self.buffer[end..next], b"data");
            count += 1;
            end = next;
        }
        if end == 0 {
            self.scanned = self.buffer.len().saturating_sub(3);
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(TooLong)
            } else {
                Ok(None)
            };
        }
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = self.buffer.len().saturating_sub(3);
        Ok(Some(Batch {
            bytes,
            count,
            has_data,
        }))
    }

    /// removes and returns the bytes after the last complete event
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }

    /// drops the bytes of an incomplete event
    pub fn discard(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// id of the last complete event that has one
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// whether the bytes after the last complete event belong to a further one
    ///
    /// Blank lines and complete comments do not.
    pub fn ends_inside_event(&self) -> bool {
        let text = String::from_utf8_lossy(&self.buffer).replace("\r\n", "\n");
        let mut is_inside = false;
        for line in text.split_inclusive(['\n', '\r']) {
            let content = line.trim_end_matches(['\n', '\r']);
            if content.len() == line.len() {
                return true;
            }
            is_inside = !content.is_empty() && (is_inside || !content.starts_with(':'));
        }
        is_inside
    }

    /// end of the first event at or after an offset, including its blank line
    fn next_end(&self, start: usize) -> Option<usize> {
        let buffer = &self.buffer;
        let mut offset = start.max(self.scanned);
        while offset < buffer.len() {
            match &buffer[offset..] {
                [b'\n', b'\n', ..] | [b'\r', b'\r', ..] => return Some(offset + 2),
                [b'\n', b'\r', b'\n', ..] => return Some(offset + 3),
                _ => offset += 1,
            }
        }
        None
    }
}

/// an event exceeds the maximum size
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// whether an event has a field with this name
fn has_field(event: &[u8], name: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n' || *byte == b'\r');
    lines.any(|line| line.starts_with(name))
}

/// value of the `id` field of an event
fn event_id(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let mut lines = text.split(['\n', '\r']).rev();
    let id = lines.find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim().to_owned())
}
