use std::fmt;
use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;
use serde_json::Value;

use crate::model::{Config, Vm};

/// a stored object
#[apply(data!)]
pub struct Object {
    /// its name within its kind
    pub name: String,
    /// the store's revision at its last change
    pub revision: u64,
    /// its content
    pub spec: Value,
}

/// all objects of a kind
#[apply(data!)]
pub struct List {
    /// the objects
    pub objects: Vec<Object>,
    /// the store's revision that the list shows
    pub revision: u64,
}

/// a change of one object
#[apply(data!)]
pub struct Event {
    /// the object as it is, or as it was when deleted
    pub object: Object,
    /// whether it was deleted
    pub deleted: bool,
}

/// what a watch returned
#[apply(data!)]
pub struct Watch {
    /// the changes, oldest first; none if the wait ended without one
    pub events: Vec<Event>,
    /// the revision to watch from next
    pub revision: u64,
}

/// a change to make
#[derive(Debug, Clone, Copy)]
pub enum Write {
    /// create the object; a conflict if it exists
    Create,
    /// replace the object at this revision; a conflict if it has another
    Replace(u64),
    /// replace the object whatever its revision
    Overwrite,
}

/// why a call to the object API failed
#[apply(data!)]
pub enum Fault {
    /// there is no such object
    Missing,
    /// the object has another revision or exists already
    Conflict,
    /// the watched history is gone; list again
    Expired,
    /// the store refused and did nothing
    Refused(u16),
    /// no usable answer; a change may have taken effect or may do so later
    Unknown(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Missing => write!(f, "The object does not exist."),
            Fault::Conflict => write!(f, "The object has another revision."),
            Fault::Expired => write!(f, "The watched history is gone."),
            Fault::Refused(status) => write!(f, "The object API refused with {status}."),
            Fault::Unknown(cause) => write!(f, "The object API did not answer: {cause}."),
        }
    }
}

impl std::error::Error for Fault {}

/// the object API
#[allow(
    async_fn_in_trait,
    reason = "the gateway runs on one thread, futures need no Send"
)]
pub trait Objects {
    /// kind of the object that holds the configuration
    const CONFIG_KIND: &'static str;
    /// name of the object that holds the configuration
    const CONFIG_NAME: &'static str;
    /// kind of the entries in which VMs register themselves
    const VM_KIND: &'static str;

    /// decodes a configuration
    ///
    /// # Errors
    /// What is wrong with it.
    fn config(&self, spec: &Value) -> Result<Config, String>;

    /// decodes a VM's entry
    ///
    /// # Errors
    /// What is wrong with it.
    fn vm(&self, name: &str, spec: &Value) -> Result<Vm, String>;

    /// lists a kind
    async fn list(&self, kind: &str) -> Result<List, Fault>;

    /// reads one object
    async fn get(&self, kind: &str, name: &str) -> Result<Object, Fault>;

    /// waits for changes of a kind after a revision
    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Result<Watch, Fault>;

    /// changes an object; returns its new revision
    async fn write(&self, kind: &str, name: &str, spec: &Value, how: Write) -> Result<u64, Fault>;
}
