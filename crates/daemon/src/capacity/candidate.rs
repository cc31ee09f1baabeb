//! Competes for the capacity lease and renews it.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use entry::Context;
use rand::Rng;
use store::lease::{Lease, Timing};
use tokio::time::Instant;

use super::leadership::Leadership;
use super::{DUTY, LEASE_DURATION};

/// interval at which the duty is checked
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// mean delay after a failed call
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// competitor for the lease while this daemon has the duty
pub struct Candidate {
    context: Arc<Context>,
    objects: store::Client,
    leadership: Arc<Leadership>,
}

impl Candidate {
    /// starts the thread that competes for the lease
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(
        context: Arc<Context>,
        objects: store::Client,
        leadership: Arc<Leadership>,
    ) -> std::io::Result<()> {
        let candidate = Candidate {
            context,
            objects,
            leadership,
        };
        let builder = thread::Builder::new().name("lease".to_owned());
        builder.spawn(move || candidate.run()).map(drop)
    }

    fn run(&self) {
        loop {
            if self.may_compete() {
                self.compete();
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// competes for the lease until the duty moves to another daemon or a later holder was seen
    fn compete(&self) {
        let me = self.context.node.me();
        let instance = format!("{}/{}", me.vm, me.instance);
        let timing = Timing::new(LEASE_DURATION);
        let mut lease = Lease::new(self.objects.clone(), DUTY, &instance, timing);
        self.leadership.reset(lease.handle());
        let mut was_holder = false;
        while self.may_compete() && !self.leadership.is_superseded() {
            let polled = lease.poll();
            let now = Instant::now();
            self.leadership.record_poll(polled.is_ok(), now);
            let fence = lease.fence_if_valid(now);
            if fence.is_some() != was_holder {
                was_holder = fence.is_some();
                tracing::info!(event = "capacity_lease", held = was_holder, ?fence);
            }
            let until = polled.unwrap_or_else(|error| {
                tracing::warn!(event = "capacity_lease_failed", %error);
                now + RETRY_DELAY.mul_f64(rand::rng().random_range(0.5..1.5))
            });
            self.pause(until);
        }
        if let Err(error) = lease.release() {
            tracing::warn!(event = "capacity_lease_not_released", %error);
        }
        self.leadership.reset(store::lease::Handle::default());
    }

    /// waits until a time, or until this daemon may no longer hold the lease
    fn pause(&self, until: Instant) {
        while self.may_compete() && !self.leadership.is_superseded() {
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            thread::sleep(remaining.min(CHECK_INTERVAL));
        }
    }

    /// whether this daemon has the duty, or holds the lease and is not draining
    fn may_compete(&self) -> bool {
        let node = &self.context.node;
        let is_candidate = || node.holds_duty(DUTY, usize::MAX);
        node.holds_duty(DUTY, 1)
            || (self.leadership.term(Instant::now()).is_some() && is_candidate())
    }
}
