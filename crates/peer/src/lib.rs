//! What daemons know of each other and how they talk.
//!
//! Inside a data centre, members probe each other and pass on versioned facts;
//! between data centres, delegates exchange sums. The rules ([`member`],
//! [`fact`], [`duty`]) do no I/O and take the time as an argument; [`rpc`] carries the
//! messages over persistent connections, and [`Node`] puts both together.

pub mod duty;
pub mod fact;
pub mod gossip;
pub mod member;
mod node;
pub mod rpc;

pub use node::{Applied, Demand, Error, Load, Node, Notice, Rate, Settings, Traffic};
pub use rpc::CallError;
pub use schema::member::{Fact, Member, State};
