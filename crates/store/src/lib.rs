//! Client of the platform's object API, and what agateloom keeps in it.
//!
//! * [`Client`] reads, changes and watches typed objects. Its errors say
//!   whether a change may have taken effect.
//! * [`config`] keeps the declaration as one object with one order of changes.
//! * [`lease`] gives one holder at a time the right to act, with a fencing number.
//! * [`claim`] lets a request under an idempotency key run at most once.
//!
//! All calls block and have time limits. Versions of objects are compared as
//! numbers: a read that shows a lower version than one seen before is stale.

pub mod claim;
mod client;
pub mod config;
mod error;
pub mod lease;
mod retry;
mod settle;

pub use client::{Change, Client, Limits, List, Object, Spec, Update, Watch};
pub use error::Error;
pub use retry::{Backoff, Budget};
pub use settle::{create_settled, update_settled};
