//! Leases: one holder at a time, each term with a higher fencing token.
//!
//! The object of a lease contains the holder, a random id of the last write and
//! the time to live. Wall clocks are not compared. The holder's term is valid
//! for the time to live less a margin, from before it sent the write that took
//! effect. A successor waits the full time to live from when it first read the
//! version that it replaces, and its write is conditional on that version. So
//! the holder's term expires first, however long responses or pauses take, as
//! long as the two monotonic clocks drift apart by less than the margin within
//! one time to live.
//!
//! The fencing token of a term is one more than the version that the first
//! write of the term replaced. Versions grow with every change, so each term
//! has a higher token than all earlier ones, also after the object was deleted
//! and created again. The object's current version can't be the token: it grows
//! with every renewal, so an upstream would reject the holder's own orders that
//! are still in flight.
//!
//! A store that is restored from a copy may have lost the latest writes. After a
//! restore no term holds, and none begins until all that were acquired before
//! have expired ([`Protocol::on_restored`]); versions and tokens have to contain
//! the number of restores, so that they rise all the same.
//!
//! [`Protocol`] implements the protocol without I/O; [`Lease`] makes the calls.

mod holder;
mod protocol;

pub use holder::{Handle, Lease};
pub use protocol::{Action, Protocol, Snapshot, Term, Timing, Write};
