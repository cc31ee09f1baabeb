//! The gossip protocol between daemons, without I/O.
//!
//! The inputs of [`Core`] are the time, incoming calls and the responses to its own calls; its
//! outputs are the calls to make and the facts received. Inside a data centre, updates spread
//! by pushes and piggybacked on probes, and a comparison of hashes with a random member
//! (anti-entropy) repairs what was lost. Demand is reported to the one daemon that sums it.
//! Between data centres, one delegate of each data centre of a pair exchanges summaries and
//! changed members.

mod apply;
mod core;
mod exchange;
mod message;
mod publish;
mod report;
mod serve;
mod sync;
mod view;

pub use core::Core;
pub use message::{Call, Message, Response, Target};
