//! Client of the platform's object API, and the state that agateloom keeps there.
//!
//! * [`Client`] reads, changes and watches typed objects. Its errors say
//!   whether a change may have taken effect.
//! * [`config`] keeps the declaration as one object whose revisions are totally ordered.
//! * [`lease`] elects one holder at a time and gives it a fencing token.
//! * [`claim`] runs a request with an idempotency key at most once.
//!
//! All calls block and have time limits. Versions of objects are compared as
//! numbers: a read that returns a lower version than an earlier one is stale.

pub mod claim;
mod client;
pub mod config;
mod error;
pub mod lease;
mod retry;
mod write;

pub use client::{Change, Client, List, Object, Spec, Timeouts, Update, Watch};
pub use error::Error;
pub use retry::{Backoff, RetryBudget};
pub use write::{create_with_retry, update_with_retry};
