//! Tries to hold the lease, and keeps it.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use entry::Context;
use rand::Rng;
use store::lease::{Lease, Timing};
use tokio::time::Instant;

use super::tenure::Tenure;
use super::{DUTY, LEASE};

/// pause between two looks at the duty
const LOOK: Duration = Duration::from_millis(250);
/// mean pause after a call that failed
const RETRY: Duration = Duration::from_secs(1);

/// one that tries to hold the lease while it has the duty
pub struct Candidate {
    context: Arc<Context>,
    objects: store::Client,
    tenure: Arc<Tenure>,
}

impl Candidate {
    /// starts to try
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(
        context: Arc<Context>,
        objects: store::Client,
        tenure: Arc<Tenure>,
    ) -> std::io::Result<()> {
        let candidate = Candidate {
            context,
            objects,
            tenure,
        };
        let builder = thread::Builder::new().name("lease".to_owned());
        builder.spawn(move || candidate.run()).map(drop)
    }

    fn run(&self) {
        loop {
            if self.is_due() {
                self.compete();
            }
            thread::sleep(LOOK);
        }
    }

    /// competes for the lease until the duty is another's or a later holder was seen
    fn compete(&self) {
        let me = self.context.node.me();
        let instance = format!("{}/{}", me.vm, me.instance);
        let timing = Timing::new(LEASE);
        let mut lease = Lease::new(self.objects.clone(), DUTY, &instance, timing);
        self.tenure.begin(lease.handle());
        let mut was_holder = false;
        while self.is_due() && !self.tenure.is_superseded() {
            let polled = lease.poll();
            let now = Instant::now();
            self.tenure.answered(polled.is_ok(), now);
            let fence = lease.fence_if_valid(now);
            if fence.is_some() != was_holder {
                was_holder = fence.is_some();
                tracing::info!(event = "capacity_lease", held = was_holder, ?fence);
            }
            let until = polled.unwrap_or_else(|error| {
                tracing::warn!(event = "capacity_lease_failed", %error);
                now + RETRY.mul_f64(rand::rng().random_range(0.5..1.5))
            });
            self.pause(until);
        }
        if let Err(error) = lease.release() {
            tracing::warn!(event = "capacity_lease_not_released", %error);
        }
        self.tenure.begin(store::lease::Handle::default());
    }

    /// waits, but not beyond the end of the duty
    fn pause(&self, until: Instant) {
        while self.is_due() && !self.tenure.is_superseded() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left.min(LOOK));
        }
    }

    /// whether this daemon has the duty, or holds the lease and does not leave
    fn is_due(&self) -> bool {
        let node = &self.context.node;
        let stays = || node.holds_duty(DUTY, usize::MAX);
        node.holds_duty(DUTY, 1) || (self.tenure.term(Instant::now()).is_some() && stays())
    }
}
