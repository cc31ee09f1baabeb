//! One revision of the configuration.

use schema::config::Declaration;
use schema::objects::{Configuration, Edit};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::client::Object;
use crate::error::Error;

/// a declaration with its place in the order of changes
#[derive(Debug, Clone, PartialEq)]
pub struct Revision {
    /// number, author and time of the change
    pub edit: Edit,
    /// what is declared
    pub declaration: Declaration,
    /// [`digest`] of the declaration
    pub digest: String,
    document: Value,
}

impl Revision {
    /// a revision from its parts
    ///
    /// # Errors
    /// [`Error::Malformed`] when the document is no declaration.
    pub fn new(edit: Edit, document: Value) -> Result<Self, Error> {
        let declaration: Result<Declaration, _> = serde_json::from_value(document.clone());
        Ok(Revision {
            edit,
            declaration: declaration.map_err(|error| Error::Malformed(error.to_string()))?,
            digest: digest(&document),
            document,
        })
    }

    /// number of the revision
    pub fn number(&self) -> u64 {
        self.edit.revision
    }

    /// the declaration as a document
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

/// SHA-256 of a document, in hexadecimal; the order of an object's members does not matter
pub fn digest(document: &Value) -> String {
    let mut text = String::new();
    canonical(document, &mut text);
    hex::encode(Sha256::digest(text))
}

/// writes a document without spaces and with members in order
fn canonical(value: &Value, text: &mut String) {
    match value {
        Value::Object(members) => {
            let mut names: Vec<&String> = members.keys().collect();
            names.sort();
            text.push('{');
            for name in names {
                text.push_str(&Value::from(name.as_str()).to_string());
                text.push(':');
                canonical(&members[name], text);
                text.push(',');
            }
            text.push('}');
        }
        Value::Array(items) => {
            text.push('[');
            for item in items {
                canonical(item, text);
                text.push(',');
            }
            text.push(']');
        }
        scalar => text.push_str(&scalar.to_string()),
    }
}
