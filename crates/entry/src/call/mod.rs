//! Handlers of callers' requests, one module for each kind.

mod admit;
mod auth;
mod claimed;
mod completion;
mod info;
mod plain;
mod reattach;
mod remote;
mod response;
mod router;
mod ticketed;

pub(crate) use router::handle;
