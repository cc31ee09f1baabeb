//! Facts that daemons tell each other.
//!
//! A fact is about one subject ([`Key`]); of two facts about one subject the one
//! with the higher logical clock wins, everywhere ([`Ledger`]). Urgent facts are
//! pushed at once; all others ride on probes as far as a bound of bytes allows ([`Queue`]).

mod key;
mod ledger;
pub mod levels;
pub mod life;
mod queue;

pub use key::Key;
pub use ledger::{Held, Ledger, Offer};
pub use queue::{Class, Neighbour, Queue, Rumour, Topic};
