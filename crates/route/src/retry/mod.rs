//! Retries: how many, when, and to the same or another upstream VM.
//!
//! Retries are taken from a [`Budget`] in proportion to first attempts. A [`Breaker`] per
//! VM stops requests to a VM that does not respond. [`decide`] chooses what follows a failed
//! attempt. An [`Allowance`] limits the repeats of a service over all daemons where a
//! deployment sets such a limit.

mod allowance;
mod breaker;
mod budget;
mod decide;
mod failure;
mod resend;

pub use allowance::{Allowance, RepeatLimit};
pub use breaker::{Breaker, Phase};
pub use budget::Budget;
pub use decide::{AttemptState, Step, decide, needs_no_budget};
pub use failure::{Failure, Kind};
pub use resend::{FailedAttempt, Resend, may_resend};
