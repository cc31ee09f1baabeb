//! Callers' calls, one module for each kind.

mod admit;
mod auth;
mod claimed;
mod completion;
mod info;
mod plain;
mod read;
mod reattach;
mod remote;
mod router;
mod ticketed;

pub(crate) use router::handle;
