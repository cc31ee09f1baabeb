//! Typed objects and their documents.

use std::collections::HashMap;

use schema::objects::{Answer, Configuration, Document, Lease, Metadata, Segment, Shard};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;

pub(crate) const GROUP_VERSION: &str = "agateloom.dev/v1";

/// content of a kind of object
pub trait Spec: Serialize + DeserializeOwned + Clone {
    /// kind in documents
    const KIND: &'static str;
    /// kind in URL paths
    const PLURAL: &'static str;
}

impl Spec for Configuration {
    const KIND: &'static str = "Configuration";
    const PLURAL: &'static str = "configurations";
}

impl Spec for Lease {
    const KIND: &'static str = "Lease";
    const PLURAL: &'static str = "leases";
}

impl Spec for Shard {
    const KIND: &'static str = "ClaimShard";
    const PLURAL: &'static str = "claimshards";
}

impl Spec for Segment {
    const KIND: &'static str = "ClaimSegment";
    const PLURAL: &'static str = "claimsegments";
}

impl Spec for Answer {
    const KIND: &'static str = "KeptAnswer";
    const PLURAL: &'static str = "keptanswers";
}

/// an object as it was read or is to be written
#[derive(Debug, Clone, PartialEq)]
pub struct Object<T> {
    /// unique within the kind
    pub name: String,
    /// version that was read, 0 for a new object; grows with every change of any object
    pub version: u64,
    /// key-value metadata beside the content
    pub annotations: HashMap<String, String>,
    /// content
    pub spec: T,
}

/// all objects of a kind
#[derive(Debug, Clone, PartialEq)]
pub struct List<T> {
    /// version of the list, from which it can be watched
    pub version: u64,
    /// the objects
    pub items: Vec<Object<T>>,
}

impl<T: Spec> Object<T> {
    /// an object that is not yet in the store
    pub fn new(name: &str, spec: T) -> Self {
        Object {
            name: name.to_owned(),
            version: 0,
            annotations: HashMap::new(),
            spec,
        }
    }

    pub(crate) fn from_document(document: Document) -> Result<Self, Error> {
        let version = parse_version(document.metadata.resource_version.as_deref())?;
        let spec = document.spec.unwrap_or_default();
        let spec = serde_json::from_value(spec).map_err(|e| Error::Malformed(e.to_string()))?;
        Ok(Object {
            name: document.metadata.name,
            version,
            annotations: document.metadata.annotations,
            spec,
        })
    }

    /// the document to send; has no version if the object is new
    pub(crate) fn to_document(&self) -> Result<Document, Error> {
        let spec = serde_json::to_value(&self.spec);
        Ok(Document {
            api_version: GROUP_VERSION.to_owned(),
            kind: T::KIND.to_owned(),
            metadata: Metadata {
                name: self.name.clone(),
                annotations: self.annotations.clone(),
                generation: None,
                resource_version: (self.version > 0).then(|| self.version.to_string()),
            },
            spec: Some(spec.map_err(|e| Error::Malformed(e.to_string()))?),
        })
    }
}

/// parses a version
pub(crate) fn parse_version(text: Option<&str>) -> Result<u64, Error> {
    let text = text.unwrap_or_default();
    text.parse()
        .map_err(|_| Error::Malformed(format!("version `{text}` is not a number")))
}
