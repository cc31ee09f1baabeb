use std::io;

use bytes::Bytes;
use tokio::sync::mpsc::Sender;

use crate::body::Chunk;

/// a response that is sent in chunks
///
/// Dropping it before [`Writer::end`] closes the connection, so the caller can tell that the
/// response is incomplete.
#[derive(Debug)]
pub struct Writer {
    chunks: Sender<Chunk>,
}

impl Writer {
    pub(crate) fn new(chunks: Sender<Chunk>) -> Writer {
        Writer { chunks }
    }

    /// sends bytes; blocks while the caller does not read
    ///
    /// # Errors
    /// When the caller has disconnected or has not read within the time limit.
    pub fn write(&mut self, bytes: impl Into<Bytes>) -> io::Result<()> {
        let bytes = bytes.into();
        if bytes.is_empty() {
            return Ok(());
        }
        self.send(Chunk::Bytes(bytes))
    }

    /// ends the response as complete
    ///
    /// # Errors
    /// When the caller has disconnected.
    pub fn end(self) -> io::Result<()> {
        self.send(Chunk::End)
    }

    fn send(&self, chunk: Chunk) -> io::Result<()> {
        self.chunks.blocking_send(chunk).map_err(|_| disconnected())
    }
}

pub(crate) fn disconnected() -> io::Error {
    io::Error::new(io::ErrorKind::BrokenPipe, "the caller disconnected")
}
