//! HTTP API for callers: admission, completions, calls to plain services, hand-over.
//!
//! [`Server`] reads callers' requests on a pool of worker threads. A completion gets a
//! [`journal::Journal`]: a driver thread appends the tokens that an upstream generates, and
//! the worker sends them to the caller, so a slow caller does not block the upstream. A call
//! to a plain service runs on its worker.
//!
//! Lock order: see [`journal`] for requests in flight. The locks of [`span::Log`],
//! [`standby::Table`], [`quarantine::State`] and the retry budget are never held together with
//! another lock.

mod call;
mod context;
pub mod drain;
mod drive;
mod fault;
pub mod handover;
mod http;
pub mod journal;
mod lifecycle;
mod metrics;
pub mod migration;
pub mod notice;
mod openai;
pub mod quarantine;
mod server;
mod snapshot;
pub mod span;
pub mod standby;
pub mod ticket;

pub use context::{Builder, Context};
pub use drive::{DriverPool, Job};
pub use fault::Fault;
pub use http::SizeLimits;
pub use lifecycle::{Lifecycle, Stage};
pub use metrics::Metrics;
pub use server::{Error, Server};
pub use snapshot::Snapshot;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// locks a mutex; ignores poisoning, since no writer leaves the data inconsistent if it panics
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
