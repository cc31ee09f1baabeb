//! Account of the bytes that a process holds for its callers.
//!
//! Bytes are charged before they are read and released when they are sent or dropped. An
//! [`Account`] has the capacity that [`Capacity`] derives from the memory of the machine. Each
//! connection is a [`Hold`] of it, and a [`Charge`] is a part of what it holds. If a charge does
//! not fit, connections whose peers have made no progress lose theirs, which ends them.
//!
//! Which peers have stalled ([`Stall`]), which of them are ended ([`select`]) and whether input is
//! mere framing ([`Overhead`]) are decisions without I/O. Time is counted in calls of
//! [`Account::sweep`], so that a process that was suspended does not take all its callers for
//! stalled.
//!
//! The load pattern: hundreds of clients send large bodies, stop just short of their end, and stay
//! connected, while ordinary callers send small requests and now and then a large one.

mod account;
mod capacity;
mod charge;
mod holder;
mod overhead;
mod select;
mod stall;

pub use account::{Account, Hold};
pub use capacity::Capacity;
pub use charge::{Charge, Refused};
pub use holder::Waiting;
pub use overhead::Overhead;
pub use select::{Candidate, select};
pub use stall::{Stall, TICK};
