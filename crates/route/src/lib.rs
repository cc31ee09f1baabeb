//! Request decisions: admission, limits, upstream VM selection, retry and resume, and
//! the verdict reported to the caller.
//!
//! Nothing here does I/O or reads a clock: callers pass in the time as
//! [`tokio::time::Instant`] and a random number generator as [`rand::Rng`], so that
//! daemons and tests run the same code.

pub mod drain;
pub mod fairness;
pub mod level;
pub mod limit;
pub mod notice;
pub mod origin;
pub mod overload;
pub mod placement;
pub mod prefix;
pub mod quarantine;
pub mod quota;
mod refusal;
pub mod resume;
pub mod retry;
pub mod table;
pub mod trust;
pub mod verdict;

pub use refusal::{Reason, Refusal};
