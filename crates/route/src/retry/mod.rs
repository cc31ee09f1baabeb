//! Retries: how many, when, and to which upstream VM.
//!
//! Retries draw from a [`Budget`] in proportion to first attempts; a [`Breaker`] for
//! each VM keeps work from one that does not answer; [`decide`] is the rule for one
//! failed attempt. An [`Allowance`] bounds the repeats of a service over all daemons where
//! a deployment states that bound.

mod allowance;
mod breaker;
mod budget;
mod decide;
mod failure;
mod step;

pub use allowance::{Allowance, Terms};
pub use breaker::{Breaker, Phase};
pub use budget::Budget;
pub use decide::{State, Step, decide, is_free};
pub use failure::{Failure, Kind};
pub use step::{Again, Failed, again};
