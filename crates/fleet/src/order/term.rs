//! The time of one holder of a lease.

use std::time::Duration;

use macro_rules_attribute::apply;
use tokio::time::Instant;

/// the time of one holder of a lease, by its own monotonic clock
#[apply(schema::value!)]
pub struct Term {
    /// fencing number
    pub fence: u64,
    /// when the lease was taken
    pub since: Instant,
    /// when it lapses if it is not renewed
    pub expires: Instant,
    /// how long it lasts after a renewal
    pub lease: Duration,
    /// longest time an order is under way
    pub order_timeout: Duration,
}

impl Term {
    /// whether an order sent now arrives before the lease lapses
    #[must_use]
    pub fn is_long_enough(&self, now: Instant) -> bool {
        now + self.order_timeout < self.expires
    }

    /// when no order of a former holder can arrive any more
    #[must_use]
    pub fn alone_from(&self) -> Instant {
        self.since + self.lease + self.order_timeout
    }
}
