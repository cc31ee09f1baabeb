//! Entry of callers' requests: admission, streams, plain calls, hand-over.
//!
//! A caller's request is read by [`Server`] on a pool of workers. A completion
//! becomes a [`journal::Journal`], which a driver thread fills from upstreams
//! while the worker writes it to the caller; neither waits for the other. A
//! plain call runs on its worker.
//!
//! Lock order: [`journal`] states it for requests; the locks of
//! [`span::Log`], [`standby::Table`] and the retry budget are taken alone.

mod call;
mod context;
pub mod drain;
mod drive;
mod fault;
pub mod handover;
mod http;
pub mod journal;
mod metrics;
pub mod moves;
mod openai;
mod server;
mod snapshot;
pub mod span;
mod stage;
pub mod standby;
pub mod ticket;

pub use context::{Builder, Context};
pub use drive::{Driver, Job};
pub use fault::Fault;
pub use http::Bounds;
pub use metrics::Metrics;
pub use server::{Error, Server};
pub use snapshot::Snapshot;
pub use stage::{Phase, Stage};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// locks a table whose writers leave it whole even when they panic
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
