//! Objects, their versions and the log that watches read.

use std::collections::{BTreeMap, VecDeque};

use schema::objects::{Change, Document, Event, List, ListMetadata};
use serde_json::Value;

use super::reply::{GROUP_VERSION, Reply};

const LOG_LENGTH: usize = 4096;
const LOG_BYTES: usize = 32 << 20;
const MAX_BYTES: usize = 1 << 20;

/// an object with the version before its last
#[derive(Debug, Default)]
struct Row {
    now: Option<Document>,
    before: Option<Document>,
}

/// a change in the order of versions
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) version: u64,
    pub(super) plural: String,
    pub(super) name: String,
    pub(super) event: Event,
    bytes: usize,
}

/// all objects
#[derive(Debug, Default)]
pub(super) struct Table {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    log: VecDeque<Entry>,
    log_bytes: usize,
    forgotten: u64,
}

impl Table {
    /// version of the last change
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// one object, or with `stale` the version before
    pub(super) fn get(&self, plural: &str, name: &str, stale: bool) -> Result<&Document, Reply> {
        let row = self.rows.get(&(plural.to_owned(), name.to_owned()));
        let found = row.and_then(|row| pick(row, stale));
        found.ok_or_else(|| Reply::failure(404, "NotFound", &format!("{plural} {name} not found")))
    }

    /// all objects of a kind
    pub(super) fn list(&self, plural: &str, name: Option<&str>, stale: bool) -> List {
        let mut items = Vec::new();
        for ((kind, row_name), row) in &self.rows {
            if kind != plural || name.is_some_and(|name| name != row_name) {
                continue;
            }
            items.extend(pick(row, stale).cloned());
        }
        List {
            metadata: ListMetadata {
                resource_version: self.version.to_string(),
            },
            items,
        }
    }

    /// adds an object
    pub(super) fn create(&mut self, plural: &str, document: Document) -> Result<Document, Reply> {
        let name = document.metadata.name.clone();
        if name.is_empty() {
            return Err(Reply::failure(422, "Invalid", "metadata.name is empty"));
        }
        if self.get(plural, &name, false).is_ok() {
            let text = format!("{plural} {name} already exists");
            return Err(Reply::failure(409, "AlreadyExists", &text));
        }
        self.put(plural, document, Change::Added)
    }

    /// replaces an object; with a version only if that is the current one
    pub(super) fn update(&mut self, plural: &str, document: Document) -> Result<Document, Reply> {
        let name = document.metadata.name.clone();
        let current = self.get(plural, &name, false)?;
        check_version(current, document.metadata.resource_version.as_deref())?;
        self.put(plural, document, Change::Modified)
    }

    /// changes an object by a merge patch, conditional as an update is
    pub(super) fn patch(
        &mut self,
        plural: &str,
        name: &str,
        patch: &Value,
    ) -> Result<Document, Reply> {
        let current = self.get(plural, name, false)?;
        check_version(current, patch["metadata"]["resourceVersion"].as_str())?;
        let mut value = serde_json::to_value(current).unwrap_or_default();
        json_patch::merge(&mut value, patch);
        let document: Document = serde_json::from_value(value)
            .map_err(|error| Reply::failure(422, "Invalid", &error.to_string()))?;
        self.put(plural, document, Change::Modified)
    }

    /// removes an object
    pub(super) fn delete(
        &mut self,
        plural: &str,
        name: &str,
        version: Option<&str>,
    ) -> Result<Document, Reply> {
        let current = self.get(plural, name, false)?;
        check_version(current, version)?;
        let mut document = current.clone();
        self.version += 1;
        document.metadata.resource_version = Some(self.version.to_string());
        let key = (plural.to_owned(), name.to_owned());
        let row = self.rows.entry(key).or_default();
        row.before = row.now.take();
        self.record(plural, &document, Change::Deleted, 0);
        Ok(document)
    }

    /// changes after a version, or `None` if some are forgotten
    pub(super) fn since(&self, version: u64) -> Option<impl Iterator<Item = &Entry>> {
        if version < self.forgotten {
            return None;
        }
        let start = self.log.partition_point(|entry| entry.version <= version);
        Some(self.log.range(start..))
    }

    fn put(
        &mut self,
        plural: &str,
        mut document: Document,
        change: Change,
    ) -> Result<Document, Reply> {
        let size = serde_json::to_vec(&document).map_or(0, |bytes| bytes.len());
        if size > MAX_BYTES {
            let text = format!("{size} bytes are more than {MAX_BYTES}");
            return Err(Reply::failure(413, "RequestEntityTooLarge", &text));
        }
        self.version += 1;
        let key = (plural.to_owned(), document.metadata.name.clone());
        let row = self.rows.entry(key).or_default();
        let generation = row.now.as_ref().and_then(|now| now.metadata.generation);
        document.api_version = GROUP_VERSION.to_owned();
        document.metadata.generation = Some(generation.unwrap_or(0) + 1);
        document.metadata.resource_version = Some(self.version.to_string());
        row.before = row.now.replace(document.clone());
        self.record(plural, &document, change, size);
        Ok(document)
    }

    /// notes a change for watches; the oldest notes leave
    fn record(&mut self, plural: &str, document: &Document, change: Change, bytes: usize) {
        let entry = Entry {
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
        while self.log.len() > LOG_LENGTH || self.log_bytes > LOG_BYTES {
            let Some(entry) = self.log.pop_front() else {
                return;
            };
            self.log_bytes -= entry.bytes;
            self.forgotten = entry.version;
        }
    }
}

fn pick(row: &Row, stale: bool) -> Option<&Document> {
    if stale {
        row.before.as_ref()
    } else {
        row.now.as_ref()
    }
}

fn check_version(current: &Document, wanted: Option<&str>) -> Result<(), Reply> {
    match wanted {
        Some(wanted) if current.metadata.resource_version.as_deref() != Some(wanted) => {
            let text = "the object has been changed; read it again";
            Err(Reply::failure(409, "Conflict", text))
        }
        _ => Ok(()),
    }
}
