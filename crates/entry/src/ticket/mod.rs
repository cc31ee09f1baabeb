//! Tickets: idempotency keys that one daemon decides on alone.
//!
//! A data centre that is cut off from the object API can't claim keys there. A
//! caller who fetches a ticket beforehand, and uses it as its key, is served
//! all the same: the call runs at the daemon that issued the ticket, and other
//! daemons pass it on. Nothing has to be agreed. If the issuer is gone, the
//! call may have run, and that is what the caller is told.

mod book;
mod name;

pub(crate) use book::LIFE;
pub use book::{Book, Standing};
pub use name::Name;
