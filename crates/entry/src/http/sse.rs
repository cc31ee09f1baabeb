//! Server-sent events to a caller; all events that are ready leave in one write.

use std::io;

use web::Writer;

/// an open response of server-sent events
pub struct Sse {
    writer: Writer,
    pending: String,
}

impl Sse {
    pub(super) fn new(writer: Writer) -> Sse {
        Sse {
            writer,
            pending: String::new(),
        }
    }

    /// adds an event, which is sent with the next flush
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

    /// adds a comment, which keeps the connection alive
    pub fn comment(&mut self, text: &str) {
        self.line(": ", text);
        self.pending.push('\n');
    }

    /// adds an event that is already encoded
    pub fn raw(&mut self, event: &str) {
        self.pending.push_str(event);
    }

    /// sends the added events
    ///
    /// # Errors
    /// When the caller has disconnected or has not read within the time limit.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        self.writer.write(std::mem::take(&mut self.pending))
    }

    /// sends the added events and ends the response
    ///
    /// # Errors
    /// When the caller has disconnected.
    pub fn end(mut self) -> io::Result<()> {
        self.flush()?;
        self.writer.end()
    }

    fn line(&mut self, field: &str, value: &str) {
        self.pending.push_str(field);
        self.pending.push_str(value);
        self.pending.push('\n');
    }
}
