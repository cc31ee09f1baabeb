//! Reads and changes the configuration.

use std::time::{Duration, Instant, SystemTime};

use schema::config::Declaration;
use schema::objects::{Configuration, Edit};
use serde_json::Value;

use super::OBJECT_NAME;
use super::revision::Revision;
use crate::client::{Client, Object};
use crate::error::Error;
use crate::write::{create_with_retry, read_newer, update_with_retry};

/// earlier edits in the object, by which a change with a lost response is recognised
const MAX_EARLIER_EDITS: usize = 32;
/// time limit of a change with its retries
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// author of a change, and the revision it is based on
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Options<'a> {
    /// free text that identifies the author
    pub author: &'a str,
    /// revision that must be in force; `None` for any
    pub expected_revision: Option<u64>,
}

/// result of a change
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// it took effect as this edit
    Applied(Edit),
    /// it did not take effect, because this edit came first
    Conflict(Edit),
    /// nothing was changed, because the preset is not declared
    UnknownPreset,
}

/// reads the configuration; `None` before the first declaration
///
/// # Errors
/// When the call fails or the object is not a valid configuration.
pub fn read(client: &Client) -> Result<Option<Revision>, Error> {
    match client.get::<Configuration>(OBJECT_NAME)? {
        Some(object) => Revision::try_from(object).map(Some),
        None => Ok(None),
    }
}

/// replaces the declaration
///
/// # Errors
/// When a call fails; the error's verdict says whether the change may have taken effect.
pub fn apply(
    client: &Client,
    declaration: &Declaration,
    options: Options<'_>,
) -> Result<Outcome, Error> {
    let document =
        serde_json::to_value(declaration).map_err(|error| Error::Malformed(error.to_string()))?;
    let deadline = Instant::now() + WRITE_TIMEOUT;
    let current = current(client, options.expected_revision, deadline)?;
    if let Some(outcome) = revision_conflict(current.as_ref(), options.expected_revision) {
        return Ok(outcome);
    }
    write(client, current, document, options.author)
}

/// selects another preset as a new revision
///
/// # Errors
/// When a call fails; the error's verdict says whether the change may have taken effect.
pub fn select_preset(
    client: &Client,
    preset: &str,
    options: Options<'_>,
) -> Result<Outcome, Error> {
    let deadline = Instant::now() + WRITE_TIMEOUT;
    let current = current(client, options.expected_revision, deadline)?;
    if let Some(outcome) = revision_conflict(current.as_ref(), options.expected_revision) {
        return Ok(outcome);
    }
    let Some(current) = current else {
        return Ok(Outcome::UnknownPreset);
    };
    let mut document = current.spec.declaration.clone();
    if !declares(&document, preset) {
        return Ok(Outcome::UnknownPreset);
    }
    document["preset"] = Value::from(preset);
    write(client, Some(current), document, options.author)
}

/// the current state; repeats reads that are older than the expected revision
fn current(
    client: &Client,
    expected: Option<u64>,
    deadline: Instant,
) -> Result<Option<Object<Configuration>>, Error> {
    let mut object = client.get::<Configuration>(OBJECT_NAME)?;
    let min_revision = expected.unwrap_or(0);
    while revision(object.as_ref()) < min_revision {
        // The author has read the expected revision, so this read is stale.
        let version = object.as_ref().map_or(0, |object| object.version);
        object = Some(read_newer(client, OBJECT_NAME, version, deadline)?);
    }
    Ok(object)
}

fn revision(object: Option<&Object<Configuration>>) -> u64 {
    object.map_or(0, |object| object.spec.edit.revision)
}

fn revision_conflict(
    current: Option<&Object<Configuration>>,
    expected: Option<u64>,
) -> Option<Outcome> {
    let current = current?;
    match expected {
        Some(expected) if expected != current.spec.edit.revision => {
            Some(Outcome::Conflict(current.spec.edit.clone()))
        }
        _ => None,
    }
}

fn declares(document: &Value, preset: &str) -> bool {
    let presets = document["presets"].as_array();
    presets.is_some_and(|presets| presets.iter().any(|item| item["name"] == preset))
}

/// writes the next revision on the condition that `current` is unchanged
fn write(
    client: &Client,
    current: Option<Object<Configuration>>,
    document: Value,
    author: &str,
) -> Result<Outcome, Error> {
    let deadline = Instant::now() + WRITE_TIMEOUT;
    let next = next_revision(current, document, author);
    let edit = next.spec.edit.clone();
    let is_own = |spec: &Configuration| {
        spec.edit.change == edit.change || spec.earlier.iter().any(|e| e.change == edit.change)
    };
    let written = if next.version == 0 {
        create_with_retry(client, &next, deadline, is_own)
    } else {
        update_with_retry(client, &next, deadline, is_own)
    };
    match written {
        Ok(_) => Ok(Outcome::Applied(edit)),
        Err(Error::Conflict | Error::AlreadyExists) => {
            let other = read_newer::<Configuration>(client, OBJECT_NAME, next.version, deadline)?;
            Ok(Outcome::Conflict(other.spec.edit))
        }
        Err(error) => Err(error),
    }
}

fn next_revision(
    current: Option<Object<Configuration>>,
    document: Value,
    author: &str,
) -> Object<Configuration> {
    let mut edit = Edit {
        revision: 1,
        change: hex::encode(rand::random::<[u8; 16]>()),
        author: author.to_owned(),
        at_ms: unix_ms(),
    };
    let Some(mut object) = current else {
        let spec = Configuration {
            edit,
            earlier: Vec::new(),
            declaration: document,
        };
        return Object::new(OBJECT_NAME, spec);
    };
    edit.revision = object.spec.edit.revision + 1;
    let previous = std::mem::replace(&mut object.spec.edit, edit);
    object.spec.earlier.insert(0, previous);
    object.spec.earlier.truncate(MAX_EARLIER_EDITS);
    object.spec.declaration = document;
    object
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
