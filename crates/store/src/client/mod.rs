//! Typed client of the object API.

mod calls;
mod object;
mod transport;
mod watch;

pub use calls::Client;
pub use object::{List, Object, Spec};
pub use transport::Timeouts;
pub use watch::{Change, Update, Watch};
