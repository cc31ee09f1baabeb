//! Clients of the upstreams: model engines and plain services.
//!
//! Calls block the thread that makes them. Every failure carries a
//! [`schema::failure::Verdict`] that says whether the request may have run.

mod client;
mod failure;
mod plain;
mod stream;

pub use client::{Client, Timeouts};
pub use failure::{Failure, FailureKind};
pub use plain::{Header, Request, Response};
pub use stream::{Item, Stream};
