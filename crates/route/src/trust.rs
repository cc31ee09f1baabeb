//! Whether a configuration is recent enough to decide on a request by it.
//!
//! A key that was taken away must stop working within a bound, also at a daemon that
//! hears nothing of it. So a daemon trusts keys only while it has lately had the store's
//! word that its configuration is the newest. The age counts from the moment at which
//! the store must still have agreed, not from when the answer came.
//!
//! Load pattern: outages and partitions of the store for some daemons, with keys taken
//! away meanwhile; and configurations in quick succession, where a route or key that is
//! unknown here may be in force already.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::value;

/// part of the bound on keys that is used: the rest covers a request's way to its VM
const USED_PART: f64 = 0.85;

/// part of the time in which a configuration has to be in force; after it, what is not
/// in the configuration may be new rather than unknown
const CURRENT_PART: f64 = 0.8;

/// bounds on the age of a configuration
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// time in which a configuration has to be in force everywhere
    pub apply: Duration,
    /// age beyond which keys are not trusted; none if they always are
    pub keys: Option<Duration>,
}

/// what a configuration may be used for
#[apply(value!)]
pub enum Trust {
    /// everything
    Current,
    /// what it allows holds; what it lacks may exist by now
    Behind,
    /// keys may have been taken away
    Stale,
}

/// judges a configuration by its age
pub fn judge(age: Duration, bounds: &Bounds) -> Trust {
    if bounds
        .keys
        .is_some_and(|most| age > most.mul_f64(USED_PART))
    {
        return Trust::Stale;
    }
    if age > bounds.apply.mul_f64(CURRENT_PART) {
        return Trust::Behind;
    }
    Trust::Current
}
