//! A revision of the configuration.

use schema::config::Declaration;
use schema::objects::{Configuration, Edit};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::client::Object;
use crate::error::Error;

/// a declaration with the edit that made it
#[derive(Debug, Clone, PartialEq)]
pub struct Revision {
    /// revision number, id, author and time of the change
    pub edit: Edit,
    /// the parsed declaration
    pub declaration: Declaration,
    /// [`digest`] of the declaration
    pub digest: String,
    document: Value,
}

impl Revision {
    /// a revision from its parts
    ///
    /// # Errors
    /// [`Error::Malformed`] when the document is not a valid declaration.
    pub fn new(edit: Edit, document: Value) -> Result<Self, Error> {
        let declaration: Result<Declaration, _> = serde_json::from_value(document.clone());
        Ok(Revision {
            edit,
            declaration: declaration.map_err(|error| Error::Malformed(error.to_string()))?,
            digest: digest(&document),
            document,
        })
    }

    /// revision number
    pub fn number(&self) -> u64 {
        self.edit.revision
    }

    /// the declaration as a JSON document
    pub fn document(&self) -> &Value {
        &self.document
    }
}

impl TryFrom<Object<Configuration>> for Revision {
    type Error = Error;

    fn try_from(object: Object<Configuration>) -> Result<Self, Error> {
        Revision::new(object.spec.edit, object.spec.declaration)
    }
}

/// SHA-256 of a document in hexadecimal; does not depend on the order of an object's members
pub fn digest(document: &Value) -> String {
    let mut text = String::new();
    write_canonical(document, &mut text);
    hex::encode(Sha256::digest(text))
}

/// appends a document without spaces and with sorted members
fn write_canonical(value: &Value, text: &mut String) {
    match value {
        Value::Object(members) => {
            let mut names: Vec<&String> = members.keys().collect();
            names.sort();
            text.push('{');
            for name in names {
                text.push_str(&Value::from(name.as_str()).to_string());
                text.push(':');
                write_canonical(&members[name], text);
                text.push(',');
            }
            text.push('}');
        }
        Value::Array(items) => {
            text.push('[');
            for item in items {
                write_canonical(item, text);
                text.push(',');
            }
            text.push(']');
        }
        scalar => text.push_str(&scalar.to_string()),
    }
}
