//! A TCP proxy that simulates a network link: delay, bandwidth and faults.
//!
//! Several proxies can share one [`Link`], such as the one between two regions:
//! its bandwidth, faults and counts then apply to the connections of all of them. A link
//! has a near end and a far end; clients are at the near end unless a proxy is reversed.

mod connection;
mod faults;
mod link;
mod options;
mod pump;
mod server;

pub use faults::{Counts, Faults};
pub use link::{Direction, Link};
pub(crate) use options::parser;
pub use options::{Builder, Options};
pub use server::Server;
