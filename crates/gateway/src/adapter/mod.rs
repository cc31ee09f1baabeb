//! Traits that a deployment's adapter implements.
//!
//! An adapter translates between the gateway's types and the deployment's formats. It makes
//! no decisions and holds no state that decisions depend on; each method handles one message
//! or one call.

mod cloud;
mod dialect;
mod objects;

pub use cloud::{Capacity, Cloud, CloudError};
pub use dialect::{Attempt, Dialect, Malformed, Notice, Reply};
pub use objects::{Event, List, Object, ObjectError, Objects, Revision, Watch, Write};
