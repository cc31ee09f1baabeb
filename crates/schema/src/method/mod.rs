//! Names of the JSON-RPC methods that operators call on a daemon.

mod operator;

pub use operator::{DRAIN, STATUS, TRACE};
