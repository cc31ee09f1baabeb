//! Stand-in of the platform's object API, by the conventions of the Kubernetes
//! REST API: one group, one namespace, objects of any kind.
//!
//! Every change gets the next number of one counter as its version. Updates are
//! conditional on `metadata.resourceVersion`; watches stream JSON lines. Faults
//! are switched by `POST /control/faults`; `GET /control/counts` tells the load.

mod bucket;
mod fault;
mod handler;
mod options;
mod reply;
mod server;
mod table;
mod target;
mod watch;

pub use options::{Options, parser};
pub use server::Server;
