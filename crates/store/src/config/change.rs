//! Reading and changing the configuration.

use std::time::{Duration, Instant, SystemTime};

use schema::config::Declaration;
use schema::objects::{Configuration, Edit};
use serde_json::Value;

use super::OBJECT;
use super::revision::Revision;
use crate::client::{Client, Object};
use crate::error::Error;
use crate::settle::{create_settled, read_newer, update_settled};

/// edits kept for the settling of lost answers
const KEPT_EDITS: usize = 32;
/// longest time to settle a change
const SETTLE: Duration = Duration::from_secs(10);

/// who changes the configuration, and the state the change is made for
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Source<'a> {
    /// the author's words
    pub author: &'a str,
    /// revision the author has seen; `None` for whichever is in force
    pub expected: Option<u64>,
}

/// what became of a change
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// it is in force, under this edit
    Applied(Edit),
    /// another change came first; this one did not take effect
    Conflict(Edit),
    /// the preset is not declared; nothing was changed
    UnknownPreset,
}

/// reads the configuration; `None` before the first declaration
///
/// # Errors
/// When the call fails or the object is no configuration.
pub fn read(client: &Client) -> Result<Option<Revision>, Error> {
    match client.get::<Configuration>(OBJECT)? {
        Some(object) => Revision::try_from(object).map(Some),
        None => Ok(None),
    }
}

/// puts a declaration in force
///
/// # Errors
/// When a call fails; the error's verdict says whether the change may be in force.
pub fn apply(
    client: &Client,
    declaration: &Declaration,
    source: Source<'_>,
) -> Result<Outcome, Error> {
    let document =
        serde_json::to_value(declaration).map_err(|error| Error::Malformed(error.to_string()))?;
    let deadline = Instant::now() + SETTLE;
    let current = current(client, source.expected, deadline)?;
    if let Some(outcome) = conflict(current.as_ref(), source.expected) {
        return Ok(outcome);
    }
    write(client, current, document, source.author)
}

/// puts another preset in force, in the same order of changes
///
/// # Errors
/// When a call fails; the error's verdict says whether the change may be in force.
pub fn use_preset(client: &Client, preset: &str, source: Source<'_>) -> Result<Outcome, Error> {
    let deadline = Instant::now() + SETTLE;
    let current = current(client, source.expected, deadline)?;
    if let Some(outcome) = conflict(current.as_ref(), source.expected) {
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
    write(client, Some(current), document, source.author)
}

/// the state in force, at least the revision the author has seen
fn current(
    client: &Client,
    expected: Option<u64>,
    deadline: Instant,
) -> Result<Option<Object<Configuration>>, Error> {
    let mut found = client.get::<Configuration>(OBJECT)?;
    let wanted = expected.unwrap_or(0);
    while revision(found.as_ref()) < wanted {
        // What the author has seen was there, so this read is stale.
        let floor = found.as_ref().map_or(0, |object| object.version);
        found = Some(read_newer(client, OBJECT, floor, deadline)?);
    }
    Ok(found)
}

fn revision(object: Option<&Object<Configuration>>) -> u64 {
    object.map_or(0, |object| object.spec.edit.revision)
}

fn conflict(current: Option<&Object<Configuration>>, expected: Option<u64>) -> Option<Outcome> {
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

/// writes the next revision, conditional on the state read
fn write(
    client: &Client,
    current: Option<Object<Configuration>>,
    document: Value,
    author: &str,
) -> Result<Outcome, Error> {
    let deadline = Instant::now() + SETTLE;
    let next = following(current, document, author);
    let edit = next.spec.edit.clone();
    let is_own = |spec: &Configuration| {
        spec.edit.change == edit.change || spec.earlier.iter().any(|e| e.change == edit.change)
    };
    let written = if next.version == 0 {
        create_settled(client, &next, deadline, is_own)
    } else {
        update_settled(client, &next, deadline, is_own)
    };
    match written {
        Ok(_) => Ok(Outcome::Applied(edit)),
        Err(Error::Conflict | Error::Exists) => {
            let other = read_newer::<Configuration>(client, OBJECT, next.version, deadline)?;
            Ok(Outcome::Conflict(other.spec.edit))
        }
        Err(error) => Err(error),
    }
}

fn following(
    current: Option<Object<Configuration>>,
    document: Value,
    author: &str,
) -> Object<Configuration> {
    let mut edit = Edit {
        revision: 1,
        change: hex::encode(rand::random::<[u8; 16]>()),
        author: author.to_owned(),
        at_ms: wall_ms(),
    };
    let Some(mut object) = current else {
        let spec = Configuration {
            edit,
            earlier: Vec::new(),
            declaration: document,
        };
        return Object::new(OBJECT, spec);
    };
    edit.revision = object.spec.edit.revision + 1;
    let previous = std::mem::replace(&mut object.spec.edit, edit);
    object.spec.earlier.insert(0, previous);
    object.spec.earlier.truncate(KEPT_EDITS);
    object.spec.declaration = document;
    object
}

fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
