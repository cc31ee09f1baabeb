//! Clients of the upstreams: model engines and plain services.
//!
//! Calls block the thread that makes them. Every failure carries a
//! [`schema::failure::Verdict`] that says whether the request may have run.

mod body;
mod client;
mod event;
mod failure;
mod plain;
mod stated;
mod stream;

pub use body::{read_body, stated_length};
pub use client::{Client, Timeouts};
pub use event::read_event;
pub use failure::{Failure, FailureKind};
pub use plain::{Header, Request, Response};
pub use stated::Stated;
pub use stream::{Item, Stream};
