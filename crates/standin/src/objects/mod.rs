//! Simulation of the platform's object API, which follows the conventions of the
//! Kubernetes REST API: one group, one namespace, objects of any kind.
//!
//! Every change gets the next value of one counter as its version. Updates are
//! conditional on `metadata.resourceVersion`; watches stream JSON lines. Faults
//! are set by `POST /control/faults`; `GET /control/counts` returns the load.

mod faults;
mod handler;
mod options;
mod response;
mod server;
mod table;
mod target;
mod token_bucket;
mod watch;

pub use options::{Options, parser};
pub use server::Server;
