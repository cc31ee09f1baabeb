//! Tickets: idempotency keys that the daemon that issued them decides on alone.
//!
//! A data centre that is cut off from the object API can't claim keys there. A caller that
//! requested a ticket beforehand and uses it as its key is still served: the call runs on
//! the daemon that issued the ticket, and other daemons forward it there, so no agreement
//! between daemons is needed. If the issuer can't be reached, the call may have run, and the
//! caller gets the verdict `may_have_run`.

mod name;
mod table;

pub use name::Name;
pub(crate) use table::LIFETIME;
pub use table::{Status, Table};
