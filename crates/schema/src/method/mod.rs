//! Names of the JSON-RPC methods that a daemon offers to operators.

mod operator;

pub use operator::{DRAIN, STATUS, TRACE};
