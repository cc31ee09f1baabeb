use std::fmt;
use std::time::Duration;

use macro_rules_attribute::apply;
use schema::{data, message};
use serde_json::Value;

use crate::model::{Config, Rollout, RolloutStatus, Vm};

/// position in the history of the store
///
/// A store that is restored from a copy gives out the numbers after the copy a second time, under
/// the next generation. Positions are therefore ordered by generation first.
#[apply(message!)]
#[derive(Copy, Default, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// number of times that the store was restored, counted by the store
    pub generation: u64,
    /// number of changes in this generation's history
    pub number: u64,
}

impl Revision {
    /// bits of [`Revision::packed`] that hold the number
    const NUMBER_BITS: u32 = 40;

    /// the revision as one number in the same order; exact in JSON up to 8,191 restores
    pub fn packed(self) -> u64 {
        (self.generation << Self::NUMBER_BITS) | self.number
    }

    /// the revision of a number returned by [`Revision::packed`]
    pub fn unpack(packed: u64) -> Revision {
        Revision {
            generation: packed >> Self::NUMBER_BITS,
            number: packed & ((1 << Self::NUMBER_BITS) - 1),
        }
    }
}

/// an object in the store
#[apply(data!)]
pub struct Object {
    /// name, unique within the kind
    pub name: String,
    /// store revision of the last change
    pub revision: Revision,
    /// content
    pub spec: Value,
    /// what daemons state about the content; null if they state nothing
    pub status: Value,
}

/// all objects of one kind
#[apply(data!)]
pub struct List {
    /// the objects
    pub objects: Vec<Object>,
    /// store revision of the list
    pub revision: Revision,
}

/// a change of one object
#[apply(data!)]
pub struct Event {
    /// the object after the change, or its last state if it was deleted
    pub object: Object,
    /// whether the object was deleted
    pub deleted: bool,
}

/// result of a watch call
#[apply(data!)]
pub struct Watch {
    /// changes, oldest first; empty if there was none within the wait
    pub events: Vec<Event>,
    /// revision from which to continue the watch
    pub revision: Revision,
}

/// how an object is written
#[derive(Debug, Clone, Copy)]
pub enum Write {
    /// creates the object; fails with a conflict if it exists
    Create,
    /// replaces the object at this revision; fails with a conflict if it has another
    Replace(Revision),
    /// replaces the object at any revision
    Overwrite,
}

/// why a call to the object API failed
#[apply(data!)]
pub enum ObjectError {
    /// the object does not exist
    Missing,
    /// the object has another revision or exists already
    Conflict,
    /// the store no longer has the history after the watched revision; list again
    Expired,
    /// the store refused the call with this status and changed nothing
    Refused(u16),
    /// no usable response; a write may have taken effect or may still do so
    Unknown(String),
}

impl fmt::Display for ObjectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ObjectError::Missing => write!(f, "object does not exist"),
            ObjectError::Conflict => write!(f, "object exists already or has another revision"),
            ObjectError::Expired => write!(
                f,
                "history after the watched revision is no longer available"
            ),
            ObjectError::Refused(status) => {
                write!(f, "object API refused the call with status {status}")
            }
            ObjectError::Unknown(cause) => {
                write!(f, "no usable response from the object API: {cause}")
            }
        }
    }
}

impl std::error::Error for ObjectError {}

/// access to the object API
#[allow(
    async_fn_in_trait,
    reason = "the gateway runs on one thread, futures need no Send"
)]
pub trait Objects {
    /// kind of the object that holds the configuration
    const CONFIG_KIND: &'static str;
    /// name of the object that holds the configuration
    const CONFIG_NAME: &'static str;
    /// kind of the objects by which VMs register themselves
    const VM_KIND: &'static str;
    /// kind of the objects by which operators request roll-outs
    const ROLLOUT_KIND: &'static str;

    /// highest generation that any response of the store has shown; none before the first one
    fn generation(&self) -> Option<u64>;

    /// decodes a configuration
    ///
    /// # Errors
    /// A description of the invalid content.
    fn config(&self, spec: &Value) -> Result<Config, String>;

    /// decodes the registration of a VM
    ///
    /// # Errors
    /// A description of the invalid content.
    fn vm(&self, name: &str, spec: &Value) -> Result<Vm, String>;

    /// decodes a request for a roll-out
    ///
    /// # Errors
    /// A description of the invalid content.
    fn rollout(&self, spec: &Value) -> Result<Rollout, String>;

    /// decodes the status of a roll-out; none if there is none, or an invalid one
    fn rollout_status(&self, status: &Value) -> Option<RolloutStatus>;

    /// encodes the status of a roll-out
    fn encode_rollout_status(&self, status: &RolloutStatus) -> Value;

    /// lists all objects of a kind
    async fn list(&self, kind: &str) -> Result<List, ObjectError>;

    /// reads an object
    async fn get(&self, kind: &str, name: &str) -> Result<Object, ObjectError>;

    /// waits for changes of objects of a kind after a revision
    async fn watch(
        &self,
        kind: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Watch, ObjectError>;

    /// writes an object and returns its new revision
    async fn write(
        &self,
        kind: &str,
        name: &str,
        spec: &Value,
        how: Write,
    ) -> Result<Revision, ObjectError>;

    /// writes the status of an object at this revision and returns its new revision; the content
    /// stays as it is
    ///
    /// Fails with a conflict if the object has another revision.
    async fn write_status(
        &self,
        kind: &str,
        name: &str,
        status: &Value,
        base: Revision,
    ) -> Result<Revision, ObjectError>;
}
