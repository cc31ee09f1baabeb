//! Streams of changes.

use std::io::{self, Write};
use std::time::{Duration, Instant};

use schema::objects::{Change, Event};
use serde_json::json;

use super::handler::Shared;
use super::reply::status;
use super::target::Query;

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
const POLL: Duration = Duration::from_millis(100);

/// one open watch
pub(super) struct Watch<'a> {
    pub(super) shared: &'a Shared,
    pub(super) plural: &'a str,
    pub(super) query: &'a Query,
}

impl Watch<'_> {
    /// writes events until the time is over, the server stops or an outage begins
    pub(super) fn run(&self, mut writer: Box<dyn Write + Send>) -> io::Result<()> {
        writer.write_all(HEAD.as_bytes())?;
        writer.flush()?;
        let deadline = Instant::now() + self.query.timeout();
        let mut version = self.start(&mut writer)?;
        loop {
            if self.shared.wait(version, POLL) {
                return Ok(());
            }
            if self.shared.silent() {
                continue;
            }
            let Some((events, last)) = self.events(version) else {
                let gone = status(410, "Expired", "too old resource version");
                return send(&mut writer, &[event(Change::Error, json!(gone))], true);
            };
            version = last;
            if Instant::now() >= deadline {
                let mark =
                    json!({"metadata": {"name": "", "resourceVersion": version.to_string()}});
                return send(&mut writer, &[event(Change::Bookmark, mark)], true);
            }
            send(&mut writer, &events, false)?;
        }
    }

    /// sends what is there if no version was named; returns where to go on
    fn start(&self, writer: &mut Box<dyn Write + Send>) -> io::Result<u64> {
        if self.query.version > 0 {
            return Ok(self.query.version);
        }
        let list = self.shared.list(self.plural, self.query.name.as_deref());
        let events: Vec<Event> = list
            .items
            .iter()
            .map(|item| event(Change::Added, json!(item)))
            .collect();
        send(writer, &events, false)?;
        Ok(list.metadata.resource_version.parse().unwrap_or(0))
    }

    fn events(&self, version: u64) -> Option<(Vec<Event>, u64)> {
        let table = self.shared.table();
        let mut events = Vec::new();
        for entry in table.since(version)? {
            let named = self.query.name.as_ref();
            if entry.plural == self.plural && named.is_none_or(|name| *name == entry.name) {
                events.push(entry.event.clone());
            }
        }
        Some((events, table.version().max(version)))
    }
}

fn event(change: Change, object: serde_json::Value) -> Event {
    Event {
        type_: change,
        object,
    }
}

/// writes events as one chunk and flushes the socket's writer
fn send(writer: &mut Box<dyn Write + Send>, events: &[Event], last: bool) -> io::Result<()> {
    let mut lines = Vec::new();
    for event in events {
        serde_json::to_writer(&mut lines, event)?;
        lines.push(b'\n');
    }
    if !lines.is_empty() {
        write!(writer, "{:x}\r\n", lines.len())?;
        writer.write_all(&lines)?;
        writer.write_all(b"\r\n")?;
    }
    if last {
        writer.write_all(LAST_CHUNK)?;
    }
    writer.flush()
}
