//! Server-sent events to a caller.
//!
//! The HTTP library buffers its chunked answers, so the head and the chunks
//! are written to its raw writer here, one flush for all that is at hand.

use std::io::{self, Write};

/// last chunk of a chunked body
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// an open answer of server-sent events
pub struct Sse {
    writer: Box<dyn Write + Send>,
    chunked: bool,
    pending: String,
}

impl Sse {
    /// writes the head of the answer
    pub(super) fn start(
        mut writer: Box<dyn Write + Send>,
        request: &str,
        chunked: bool,
    ) -> io::Result<Sse> {
        let framing = if chunked {
            "Transfer-Encoding: chunked\r\n"
        } else {
            "Connection: close\r\n"
        };
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\
             X-Request-Id: {request}\r\n{framing}\r\n"
        )?;
        writer.flush()?;
        Ok(Sse {
            writer,
            chunked,
            pending: String::new(),
        })
    }

    /// adds an event; it leaves with the next flush
    pub fn event(&mut self, name: Option<&str>, id: Option<&str>, data: &str) {
        if let Some(name) = name {
            self.line("event: ", name);
        }
        if let Some(id) = id {
            self.line("id: ", id);
        }
        self.line("data: ", data);
        self.pending.push('\n');
    }

    /// adds a comment, which tells the caller that the answer is still coming
    pub fn comment(&mut self, text: &str) {
        self.line(": ", text);
        self.pending.push('\n');
    }

    /// adds an event that is written out already
    pub fn raw(&mut self, event: &str) {
        self.pending.push_str(event);
    }

    /// sends what was added
    ///
    /// # Errors
    /// When the caller has left or does not read for too long.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        if self.chunked {
            write!(self.writer, "{:x}\r\n", self.pending.len())?;
            self.pending.push_str("\r\n");
        }
        self.writer.write_all(self.pending.as_bytes())?;
        self.pending.clear();
        self.writer.flush()
    }

    /// ends the answer
    ///
    /// # Errors
    /// When the caller has left.
    pub fn end(mut self) -> io::Result<()> {
        self.flush()?;
        if self.chunked {
            self.writer.write_all(LAST_CHUNK)?;
        }
        self.writer.flush()
    }

    fn line(&mut self, field: &str, value: &str) {
        self.pending.push_str(field);
        self.pending.push_str(value);
        self.pending.push('\n');
    }
}
