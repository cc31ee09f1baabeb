//! A TCP proxy that delays, limits, cuts and silences.
//!
//! Several proxies can share one [`Link`], such as the one between two regions:
//! its bandwidth, faults and counts are then shared by all their connections.

mod connection;
mod faults;
mod link;
mod options;
mod pump;
mod server;

pub use faults::{Counts, Faults};
pub use link::{Link, Way};
pub(crate) use options::parser;
pub use options::{Builder, Options};
pub use server::Server;
