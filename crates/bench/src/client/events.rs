//! Reads server-sent events.

use std::io::{self, BufRead, BufReader, Read};

use macro_rules_attribute::apply;
use schema::data;

/// a server-sent event
#[apply(data!)]
#[derive(Default)]
pub struct Event {
    /// event name; empty if it has none
    pub name: String,
    /// id; empty if it has none
    pub id: String,
    /// data lines, joined by line feeds
    pub data: String,
}

/// reader of the events of one response body
#[derive(Debug)]
pub struct Events<R> {
    reader: BufReader<R>,
}

impl<R: Read> Events<R> {
    /// reads events from a body
    pub fn new(body: R) -> Self {
        Self {
            reader: BufReader::new(body),
        }
    }

    /// reads the next event; a comment gives an empty event, the end of the body none
    pub fn next_event(&mut self) -> io::Result<Option<Event>> {
        let mut event = Event::default();
        let mut line = String::new();
        loop {
            line.clear();
            if self.reader.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let text = line.trim_end_matches(['\r', '\n']);
            if text.is_empty() {
                return Ok(Some(event));
            }
            event.parse_line(text);
        }
    }
}

impl Event {
    fn parse_line(&mut self, line: &str) {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => value.clone_into(&mut self.name),
            "id" => value.clone_into(&mut self.id),
            "data" => {
                if !self.data.is_empty() {
                    self.data.push('\n');
                }
                self.data.push_str(value);
            }
            _ => {}
        }
    }
}
