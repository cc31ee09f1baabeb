//! Leases: one holder at a time, each term with a higher fencing number.
//!
//! The object of a lease tells the holder, a random id of the last request and
//! the time to live. No wall clock is compared. The holder counts from before
//! it sent the request that took effect, less a margin; a successor counts the
//! full time from when it first saw the version that it means to replace, and
//! replaces that version only. So the holder's time is over first, however
//! long answers or pauses take, as long as the two monotonic clocks drift
//! apart by less than the margin within one time to live.
//!
//! The fencing number of a term is one more than the version on which the
//! term began. Versions grow with every change, so each term has a higher
//! number than all before it, also after the object was removed and made anew.
//! The version of the object itself would grow with every renewal and make an
//! upstream refuse the holder's own orders that are still on their way.
//!
//! [`Machine`] has the rules and does no I/O; [`Lease`] makes the calls.

mod holder;
mod machine;

pub use holder::{Guard, Lease};
pub use machine::{Action, Machine, Seen, Term, Timing, Write};
