//! Term of a lease holder.

use std::time::Duration;

use macro_rules_attribute::apply;
use tokio::time::Instant;

/// term of a lease holder, by its own monotonic clock
#[apply(schema::value!)]
pub struct Term {
    /// fencing token
    pub fence: u64,
    /// when the lease was acquired
    pub acquired: Instant,
    /// when the lease expires if it is not renewed
    pub expires: Instant,
    /// time from a renewal to the expiry
    pub lease: Duration,
    /// maximum time from sending an order to its arrival
    pub order_timeout: Duration,
}

impl Term {
    /// whether an order sent now arrives before the lease expires
    #[must_use]
    pub fn outlasts_order(&self, now: Instant) -> bool {
        now + self.order_timeout < self.expires
    }

    /// time from which no order of an earlier holder can arrive any more
    #[must_use]
    pub fn exclusive_from(&self) -> Instant {
        self.acquired + self.lease + self.order_timeout
    }
}
