use std::cell::Cell;

/// bytes on the wire that are no payload and are always accepted: several read buffers
const ALLOWED_BYTES: u64 = 64 * 1024;

/// bytes on the wire that are accepted for each byte of payload; a chunk with one byte of payload
/// and a size of eight digits takes 13
const ALLOWED_RATIO: u64 = 16;

/// bytes of a body on the wire, and those of them that were payload
///
/// A chunk size may have any number of leading zeros and is parsed by the HTTP library, which
/// reads them without an end.
#[derive(Debug, Default)]
pub struct Overhead {
    received: Cell<u64>,
    payload: Cell<u64>,
}

impl Overhead {
    /// begins with a new body
    pub fn reset(&self) {
        self.received.set(0);
        self.payload.set(0);
    }

    /// records bytes read from the connection
    pub fn record_received(&self, bytes: usize) {
        self.received
            .set(self.received.get().saturating_add(bytes as u64));
    }

    /// records bytes of the decoded body
    pub fn record_payload(&self, bytes: usize) {
        self.payload
            .set(self.payload.get().saturating_add(bytes as u64));
    }

    /// whether so little of what was received is payload that the connection is ended
    pub fn is_excessive(&self) -> bool {
        let allowed = self.payload.get().saturating_mul(ALLOWED_RATIO);
        self.received.get() > allowed.saturating_add(ALLOWED_BYTES)
    }
}
