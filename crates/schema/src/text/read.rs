//! Reads one document.

use serde::de::DeserializeOwned;

use super::error::{Error, Place};
use crate::config::Declaration;
use crate::settings::Daemon;

/// reads a declaration; `file` is only named in errors
///
/// # Errors
/// When the text is no YAML, or a key or value is not known.
pub fn declaration(text: &str, file: &str) -> Result<Declaration, Error> {
    read(text, file)
}

/// reads the settings of a daemon; `file` is only named in errors
///
/// # Errors
/// When the text is no YAML, or a key or value is not known.
pub fn settings(text: &str, file: &str) -> Result<Daemon, Error> {
    read(text, file)
}

/// reads any document; `file` is only named in errors
///
/// # Errors
/// When the text is no YAML, or a key or value is not known.
pub fn read<T: DeserializeOwned>(text: &str, file: &str) -> Result<T, Error> {
    let deserializer = serde_norway::Deserializer::from_str(text);
    serde_path_to_error::deserialize(deserializer).map_err(|error| explain(&error, file))
}

fn explain(error: &serde_path_to_error::Error<serde_norway::Error>, file: &str) -> Error {
    let inner = error.inner();
    let position = inner.location().map(|at| (at.line(), at.column()));
    let place = Place {
        file: file.to_owned(),
        position,
    };
    let path = error.path().to_string();
    let message = plain(&inner.to_string(), &path);
    if !is_value_error(&message) {
        return Error::Syntax { place, message };
    }
    Error::Value {
        place,
        path,
        message,
    }
}

/// whether serde, and not the scanner, gave the message
fn is_value_error(message: &str) -> bool {
    let starts = ["unknown ", "missing ", "invalid ", "duplicate "];
    starts.iter().any(|start| message.starts_with(start))
}

/// the message without the path and the place, which are told apart from it
fn plain(message: &str, path: &str) -> String {
    // the inner path may end above the one that was tracked
    let message = match message.split_once(": ") {
        Some((start, rest)) if path.starts_with(start) => rest,
        _ => message,
    };
    match message.rfind(" at line ") {
        Some(end) => message[..end].to_owned(),
        None => message.to_owned(),
    }
}
