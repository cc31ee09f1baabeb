//! The protocol between daemons, without I/O.
//!
//! [`Core`] is given the time, the calls that come in and the answers to its own;
//! it gives back the calls to make and the facts it learned. Inside a data centre
//! news spread by pushes and on probes, and an exchange of hashes with a random
//! member repairs what was lost. Demand goes to the one daemon that sums it up.
//! Between data centres, one daemon on each side of every pair exchanges the sums
//! and the members that changed.

mod core;
mod exchange;
mod learn;
mod message;
mod report;
mod serve;
mod spread;
mod sync;
mod view;

pub use core::Core;
pub use message::{Answer, Call, Message, Target};
