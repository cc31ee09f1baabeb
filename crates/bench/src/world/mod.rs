//! A whole deployment: daemons in data centres among stand-ins.
//!
//! [`World::builder`] describes it; [`World`] runs it until it is dropped.
//! Daemons, engines and plain services are processes of their own, so that they
//! can be killed, stopped and measured; object and cloud API run in the bench.

mod build;
mod builder;
mod centre;
mod daemon;
mod declaration;
mod network;
mod operator;
mod running;
mod upstream;
mod workspace;

pub use builder::Builder;
pub use centre::Centre;
pub use daemon::Daemon;
pub use network::Network;
pub use operator::Operator;
pub use running::World;
pub use upstream::{Engine, Plain};
pub use workspace::Workspace;
