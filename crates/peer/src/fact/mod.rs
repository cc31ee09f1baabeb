//! Versioned facts that daemons publish to each other.
//!
//! A fact is about one subject ([`Key`]); of two facts about one subject the one with the
//! higher logical clock wins on every daemon ([`Ledger`]). Urgent facts are pushed at once;
//! all others are piggybacked on probes, within a limit of bytes ([`Queue`]).

mod key;
mod ledger;
pub mod levels;
mod queue;
pub mod timing;

pub use key::Key;
pub use ledger::{Entry, Ledger, Merge};
pub use queue::{Peer, Priority, Queue, Subject, Update};
