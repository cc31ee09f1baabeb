//! Server-sent events.

use std::io;

use serde::Serialize;
use web::{Request, Writer};

/// an event stream to one client
///
/// If it is dropped before [`Sse::end`], the response has no end marker, so that the client
/// can tell that it is truncated.
pub struct Sse {
    writer: Writer,
}

impl Sse {
    /// sends the response head, with a further header if there is one
    pub fn open(request: Request, further: Option<(&str, &str)>) -> Self {
        let mut headers = vec![
            ("content-type", "text/event-stream"),
            ("cache-control", "no-store"),
            ("connection", "close"),
        ];
        headers.extend(further);
        Self {
            writer: request.stream(200, &headers),
        }
    }

    /// sends an unnamed event with an id
    pub fn event<T: Serialize>(&mut self, id: u32, data: &T) -> io::Result<()> {
        let data = serde_json::to_string(data)?;
        self.writer.write(format!("id: {id}\ndata: {data}\n\n"))
    }

    /// sends an event with a name but no id
    pub fn named_event<T: Serialize>(&mut self, name: &str, data: &T) -> io::Result<()> {
        let data = serde_json::to_string(data)?;
        self.writer
            .write(format!("event: {name}\ndata: {data}\n\n"))
    }

    /// sends a comment, which clients ignore
    pub fn comment(&mut self, text: &str) -> io::Result<()> {
        self.writer.write(format!(": {text}\n\n"))
    }

    /// completes the response
    pub fn end(self) -> io::Result<()> {
        self.writer.end()
    }
}
