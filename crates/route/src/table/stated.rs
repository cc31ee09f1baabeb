//! What a VM states about itself, as far as it bears on the choice.

use std::time::Duration;

use tokio::time::Instant;

use crate::notice::Throttle;

/// retry delay if only other daemons may send to the VM: a caller that returns gets another daemon
const OTHER_SENDER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// statements of a VM
#[derive(Debug, Clone, Default)]
pub(super) struct Stated {
    throttle: Option<Throttle>,
    closed_until: Option<Instant>,
    avoided_until: Option<Instant>,
}

impl Stated {
    /// excludes the VM until a time, at which it wants requests of this daemon again
    pub fn close_until(&mut self, until: Instant) {
        self.closed_until = self.closed_until.max(Some(until));
    }

    /// avoids the VM until a time, as it refuses requests of another daemon
    pub fn avoid_until(&mut self, until: Instant) {
        self.avoided_until = self.avoided_until.max(Some(until));
    }

    /// limits this daemon's requests to a number per second; none without a limit
    pub fn set_limit(&mut self, per_second: Option<f64>, now: Instant) {
        match (per_second, &mut self.throttle) {
            (None, _) => self.throttle = None,
            (Some(per_second), Some(throttle)) => throttle.set(per_second, now),
            (Some(per_second), None) => self.throttle = Some(Throttle::new(per_second, now)),
        }
    }

    /// time until the VM accepts a request of this daemon
    pub fn wait(&self, now: Instant) -> Duration {
        let closed = self
            .closed_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let throttled = self.throttle.as_ref().map_or(Duration::ZERO, |throttle| {
            throttle.wait(now).unwrap_or(OTHER_SENDER_RETRY_AFTER)
        });
        closed.max(throttled)
    }

    /// whether it refuses requests of another daemon
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// records that a request is sent
    pub fn record_send(&mut self, now: Instant) {
        if let Some(throttle) = &mut self.throttle {
            throttle.take(now);
        }
    }
}
