//! Replays a trace against real daemons and compares what happened with the
//! outcomes stated for it.
//!
//! Calls are sent at their times of arrival, however many are still open, to
//! daemons drawn by seed. Every answer is checked against the one that the
//! engine gives to its prompt, every booking against the desks' records. Each
//! policy runs in a world of its own, one after the other.

mod call;
mod check;
mod driver;
mod fault;
mod figures;
mod material;
mod options;
mod plan;
mod record;
mod report;
mod run;
mod seen;

pub use check::{Check, check};
pub use fault::Fault;
pub use figures::Figures;
pub use options::{Options, Output, options};
pub use run::run;
