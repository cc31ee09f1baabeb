//! A complete deployment on one machine: daemons in data centres, with stand-ins of
//! upstreams and platform.
//!
//! [`World::builder`] configures it; [`World`] runs it until it is dropped. Daemons,
//! engines and plain services are child processes, so that they can be killed, paused
//! and measured; object and cloud API run inside the bench process.

mod build;
mod builder;
mod daemon;
mod data_centre;
mod declaration;
mod network;
mod operator;
mod running;
mod upstream;
mod workspace;

pub use builder::Builder;
pub use daemon::Daemon;
pub use data_centre::DataCentre;
pub use network::Network;
pub use operator::Operator;
pub use running::World;
pub use upstream::{Engine, PlainService};
pub use workspace::Workspace;
