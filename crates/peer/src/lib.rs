//! Membership, gossip and calls between daemons.
//!
//! Inside a data centre, members probe each other and spread versioned facts. Between data
//! centres, delegates exchange summaries. The protocol ([`gossip`], based on [`member`],
//! [`fact`] and [`duty`]) does no I/O and takes the time as an argument; [`rpc`] carries its
//! messages over persistent connections, and [`Node`] connects the two.

pub mod duty;
pub mod fact;
pub mod gossip;
pub mod member;
mod node;
pub mod rpc;

pub use node::{Applied, Demand, Error, Load, Node, Publication, Rate, Settings, Traffic};
pub use rpc::CallError;
pub use schema::member::{Fact, Member, State};
