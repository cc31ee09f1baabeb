//! Watches: streams of changes.

use std::io;
use std::time::{Duration, Instant};

use schema::objects::{Change, Event};
use serde_json::json;
use web::Writer;

use super::handler::Shared;
use super::response::status;
use super::target::Query;

/// interval at which a watch checks for its end without a change
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// one open watch
pub(super) struct Watch<'a> {
    pub(super) shared: &'a Shared,
    pub(super) plural: &'a str,
    pub(super) query: &'a Query,
}

impl Watch<'_> {
    /// writes events until its time-out, a stop of the server or an outage
    pub(super) fn run(&self, mut writer: Writer) -> io::Result<()> {
        let deadline = Instant::now() + self.query.timeout();
        let mut version = self.send_initial(&mut writer)?;
        loop {
            if self.shared.wait_for_change(version, POLL_INTERVAL) {
                return Ok(());
            }
            if self.shared.has_silent_watches() {
                continue;
            }
            let Some((events, last)) = self.events_since(version) else {
                let expired = status(410, "Expired", "too old resource version");
                send(&mut writer, &[event(Change::Error, json!(expired))])?;
                return writer.end();
            };
            version = last;
            if Instant::now() >= deadline {
                let bookmark =
                    json!({"metadata": {"name": "", "resourceVersion": version.to_string()}});
                send(&mut writer, &[event(Change::Bookmark, bookmark)])?;
                return writer.end();
            }
            send(&mut writer, &events)?;
        }
    }

    /// sends the current objects unless a version was given; returns the version to watch from
    fn send_initial(&self, writer: &mut Writer) -> io::Result<u64> {
        if self.query.version > 0 {
            return Ok(self.query.version);
        }
        let list = self.shared.list(self.plural, self.query.name.as_deref());
        let events: Vec<Event> = list
            .items
            .iter()
            .map(|item| event(Change::Added, json!(item)))
            .collect();
        send(writer, &events)?;
        Ok(list.metadata.resource_version.parse().unwrap_or(0))
    }

    fn events_since(&self, version: u64) -> Option<(Vec<Event>, u64)> {
        let table = self.shared.table();
        let mut events = Vec::new();
        for entry in table.changes_since(version)? {
            let selected = self.query.name.as_ref();
            if entry.plural == self.plural && selected.is_none_or(|name| *name == entry.name) {
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

fn send(writer: &mut Writer, events: &[Event]) -> io::Result<()> {
    let mut lines = Vec::new();
    for event in events {
        serde_json::to_writer(&mut lines, event)?;
        lines.push(b'\n');
    }
    writer.write(lines)
}
