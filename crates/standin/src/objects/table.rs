//! Objects, their versions and the log of changes that watches read.

use std::collections::{BTreeMap, VecDeque};

use schema::objects::{Change, Document, Event, List, ListMetadata};
use serde_json::Value;

use super::response::{GROUP_VERSION, Response};

/// maximum number of changes in the log
const MAX_LOG_ENTRIES: usize = 4096;

/// maximum size of the objects in the log
const MAX_LOG_BYTES: usize = 32 << 20;

/// maximum size of an object
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// an object in its current and its previous version, either `None` if absent
#[derive(Debug, Default)]
struct Row {
    current: Option<Document>,
    previous: Option<Document>,
}

/// a change in the log, which is ordered by version
#[derive(Debug, Clone)]
pub(super) struct LogEntry {
    pub(super) version: u64,
    pub(super) plural: String,
    pub(super) name: String,
    pub(super) event: Event,
    bytes: usize,
}

/// all objects and the log of their changes
#[derive(Debug, Default)]
pub(super) struct Table {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    log: VecDeque<LogEntry>,
    log_bytes: usize,
    last_dropped_version: u64,
}

impl Table {
    /// version of the last change
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// one object; with `stale` its previous version
    pub(super) fn get(&self, plural: &str, name: &str, stale: bool) -> Result<&Document, Response> {
        let row = self.rows.get(&(plural.to_owned(), name.to_owned()));
        let found = row.and_then(|row| select_version(row, stale));
        found.ok_or_else(|| {
            Response::failure(404, "NotFound", &format!("{plural} {name} not found"))
        })
    }

    /// all objects of a kind, or the one of that name; with `stale` their previous versions
    pub(super) fn list(&self, plural: &str, name: Option<&str>, stale: bool) -> List {
        let mut items = Vec::new();
        for ((row_plural, row_name), row) in &self.rows {
            if row_plural != plural || name.is_some_and(|name| name != row_name) {
                continue;
            }
            items.extend(select_version(row, stale).cloned());
        }
        List {
            metadata: ListMetadata {
                resource_version: self.version.to_string(),
            },
            items,
        }
    }

    /// adds an object
    pub(super) fn create(
        &mut self,
        plural: &str,
        document: Document,
    ) -> Result<Document, Response> {
        let name = document.metadata.name.clone();
        if name.is_empty() {
            return Err(Response::failure(422, "Invalid", "metadata.name is empty"));
        }
        if self.get(plural, &name, false).is_ok() {
            let message = format!("{plural} {name} already exists");
            return Err(Response::failure(409, "AlreadyExists", &message));
        }
        self.store(plural, document, Change::Added)
    }

    /// replaces an object; if it names a version, only if that is the current one
    pub(super) fn update(
        &mut self,
        plural: &str,
        document: Document,
    ) -> Result<Document, Response> {
        let name = document.metadata.name.clone();
        let current = self.get(plural, &name, false)?;
        check_version(current, document.metadata.resource_version.as_deref())?;
        self.store(plural, document, Change::Modified)
    }

    /// changes an object by a merge patch, with the same condition as an update
    pub(super) fn patch(
        &mut self,
        plural: &str,
        name: &str,
        patch: &Value,
    ) -> Result<Document, Response> {
        let current = self.get(plural, name, false)?;
        check_version(current, patch["metadata"]["resourceVersion"].as_str())?;
        let mut value = serde_json::to_value(current).unwrap_or_default();
        json_patch::merge(&mut value, patch);
        let document: Document = serde_json::from_value(value)
            .map_err(|error| Response::failure(422, "Invalid", &error.to_string()))?;
        self.store(plural, document, Change::Modified)
    }

    /// removes an object; if a version is given, only if that is the current one
    pub(super) fn delete(
        &mut self,
        plural: &str,
        name: &str,
        version: Option<&str>,
    ) -> Result<Document, Response> {
        let current = self.get(plural, name, false)?;
        check_version(current, version)?;
        let mut document = current.clone();
        self.version += 1;
        document.metadata.resource_version = Some(self.version.to_string());
        let key = (plural.to_owned(), name.to_owned());
        let row = self.rows.entry(key).or_default();
        row.previous = row.current.take();
        self.record(plural, &document, Change::Deleted, 0);
        Ok(document)
    }

    /// changes after a version; `None` if some are no longer in the log
    pub(super) fn changes_since(&self, version: u64) -> Option<impl Iterator<Item = &LogEntry>> {
        if version < self.last_dropped_version {
            return None;
        }
        let start = self.log.partition_point(|entry| entry.version <= version);
        Some(self.log.range(start..))
    }

    fn store(
        &mut self,
        plural: &str,
        mut document: Document,
        change: Change,
    ) -> Result<Document, Response> {
        let size = serde_json::to_vec(&document).map_or(0, |bytes| bytes.len());
        if size > MAX_OBJECT_BYTES {
            let message = format!("{size} bytes are more than {MAX_OBJECT_BYTES}");
            return Err(Response::failure(413, "RequestEntityTooLarge", &message));
        }
        self.version += 1;
        let key = (plural.to_owned(), document.metadata.name.clone());
        let row = self.rows.entry(key).or_default();
        let generation = row
            .current
            .as_ref()
            .and_then(|current| current.metadata.generation);
        document.api_version = GROUP_VERSION.to_owned();
        document.metadata.generation = Some(generation.unwrap_or(0) + 1);
        document.metadata.resource_version = Some(self.version.to_string());
        row.previous = row.current.replace(document.clone());
        self.record(plural, &document, change, size);
        Ok(document)
    }

    /// appends a change to the log and drops the oldest ones over the limits
    fn record(&mut self, plural: &str, document: &Document, change: Change, bytes: usize) {
        let entry = LogEntry {
            version: self.version,
            plural: plural.to_owned(),
            name: document.metadata.name.clone(),
            event: Event {
                type_: change,
                object: serde_json::to_value(document).unwrap_or_default(),
            },
            bytes,
        };
        self.log.push_back(entry);
        self.log_bytes += bytes;
        while self.log.len() > MAX_LOG_ENTRIES || self.log_bytes > MAX_LOG_BYTES {
            let Some(entry) = self.log.pop_front() else {
                return;
            };
            self.log_bytes -= entry.bytes;
            self.last_dropped_version = entry.version;
        }
    }
}

fn select_version(row: &Row, stale: bool) -> Option<&Document> {
    if stale {
        row.previous.as_ref()
    } else {
        row.current.as_ref()
    }
}

fn check_version(current: &Document, expected: Option<&str>) -> Result<(), Response> {
    match expected {
        Some(expected) if current.metadata.resource_version.as_deref() != Some(expected) => {
            let message = "the object has been changed; read it again";
            Err(Response::failure(409, "Conflict", message))
        }
        _ => Ok(()),
    }
}
