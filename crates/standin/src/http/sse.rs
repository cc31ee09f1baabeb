//! Server-sent events, one flush per event.
//!
//! `tiny_http` buffers its own chunked answers, so the head is written here and
//! the events go through `chunked_transfer`. An answer that is dropped before
//! [`Sse::end`] lacks its last chunk, so that a client can tell it from a whole one.

use std::io::{self, Write};

use chunked_transfer::Encoder;
use serde::Serialize;
use tiny_http::Request;

const HEAD: &str = "HTTP/1.1 200 OK\r\n\
    content-type: text/event-stream\r\n\
    cache-control: no-store\r\n\
    connection: close\r\n\
    transfer-encoding: chunked\r\n\r\n";

/// an event stream to one client
pub struct Sse {
    output: Encoder<Socket>,
    whole: bool,
}

/// flushes each chunk, and takes no more once sealed
struct Socket {
    raw: Box<dyn Write + Send>,
    sealed: bool,
}

impl Sse {
    /// sends the head
    pub fn open(request: Request) -> io::Result<Self> {
        let mut raw = request.into_writer();
        raw.write_all(HEAD.as_bytes())?;
        raw.flush()?;
        let output = Encoder::with_flush_after_write(Socket { raw, sealed: false });
        Ok(Self {
            output,
            whole: false,
        })
    }

    /// sends an event with an id
    pub fn data<T: Serialize>(&mut self, id: u32, data: &T) -> io::Result<()> {
        let data = serde_json::to_string(data)?;
        self.send(&format!("id: {id}\ndata: {data}\n\n"))
    }

    /// sends an event with a name
    pub fn named<T: Serialize>(&mut self, name: &str, data: &T) -> io::Result<()> {
        let data = serde_json::to_string(data)?;
        self.send(&format!("event: {name}\ndata: {data}\n\n"))
    }

    /// sends a comment, which clients skip
    pub fn comment(&mut self, text: &str) -> io::Result<()> {
        self.send(&format!(": {text}\n\n"))
    }

    /// ends the answer as a whole one
    pub fn end(mut self) {
        self.whole = true;
    }

    fn send(&mut self, event: &str) -> io::Result<()> {
        self.output.write_all(event.as_bytes())
    }
}

impl Drop for Sse {
    fn drop(&mut self) {
        // The encoder writes the last chunk when it is dropped.
        self.output.get_mut().sealed = !self.whole;
    }
}

impl Write for Socket {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        if self.sealed {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.raw.write_all(data)?;
        self.raw.flush()?;
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.raw.flush()
    }
}
