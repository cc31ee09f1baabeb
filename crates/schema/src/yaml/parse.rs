//! Parses one YAML document.

use serde::de::DeserializeOwned;

use super::error::{Error, Location};
use crate::config::Declaration;
use crate::settings::Daemon;

/// parses a declaration; `file` is used only in error messages
///
/// # Errors
/// When the text is not valid YAML, or doesn't have the keys and values of the type.
pub fn parse_declaration(text: &str, file: &str) -> Result<Declaration, Error> {
    parse(text, file)
}

/// parses the settings of a daemon; `file` is used only in error messages
///
/// # Errors
/// When the text is not valid YAML, or doesn't have the keys and values of the type.
pub fn parse_settings(text: &str, file: &str) -> Result<Daemon, Error> {
    parse(text, file)
}

/// parses a document of any type; `file` is used only in error messages
///
/// # Errors
/// When the text is not valid YAML, or doesn't have the keys and values of the type.
pub fn parse<T: DeserializeOwned>(text: &str, file: &str) -> Result<T, Error> {
    let deserializer = serde_norway::Deserializer::from_str(text);
    serde_path_to_error::deserialize(deserializer).map_err(|error| convert_error(&error, file))
}

fn convert_error(error: &serde_path_to_error::Error<serde_norway::Error>, file: &str) -> Error {
    let inner = error.inner();
    let position = inner.location().map(|at| (at.line(), at.column()));
    let location = Location {
        file: file.to_owned(),
        position,
    };
    let path = error.path().to_string();
    let message = strip_context(&inner.to_string(), &path);
    if !is_value_error(&message) {
        return Error::Syntax { location, message };
    }
    Error::Value {
        location,
        path,
        message,
    }
}

/// whether the message comes from serde rather than from the YAML scanner
fn is_value_error(message: &str) -> bool {
    let serde_prefixes = ["unknown ", "missing ", "invalid ", "duplicate "];
    serde_prefixes
        .iter()
        .any(|prefix| message.starts_with(prefix))
}

/// removes the path and the position from the message, as the error reports them separately
fn strip_context(message: &str, path: &str) -> String {
    // the path in the message may be a prefix of the tracked path
    let message = match message.split_once(": ") {
        Some((prefix, rest)) if path.starts_with(prefix) => rest,
        _ => message,
    };
    match message.rfind(" at line ") {
        Some(end) => message[..end].to_owned(),
        None => message.to_owned(),
    }
}
