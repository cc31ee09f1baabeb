use std::rc::Rc;
use std::time::Duration;

use route::rollout::Sample;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::Dialect;
use crate::model::{Kind, Vm};
use crate::shared::Shared;

/// multiples of the usual time after which an attempt without a response counts as slow: a slow version
/// would be noticed later by the time of its responses
const LATE_RATIO: f64 = 4.0;

/// shortest time that counts as slow: below it, the pauses of a busy daemon matter more
const MIN_LATE_TIME: Duration = Duration::from_millis(100);

/// an attempt in flight
#[derive(Debug)]
pub(super) struct Open {
    pub service: String,
    pub version: String,
    vm: String,
    route: u64,
    sent_at: Instant,
    usual: Duration,
    is_recorded: bool,
    /// whether it must not be interrupted
    pub is_bound: bool,
}

/// an attempt at a VM while roll-outs are possible; it is in flight until it is dropped
pub struct Attempt<D: Dialect> {
    shared: Rc<Shared<D>>,
    key: u64,
}

impl<D: Dialect> Attempt<D> {
    /// begins an attempt; none if the deployment does not use roll-outs
    ///
    /// `usual` is the time to the response or the first event if the VM is as fast as the others.
    pub fn begin(
        shared: &Rc<Shared<D>>,
        vm: &Vm,
        route: &str,
        kind: Kind,
        usual: Duration,
    ) -> Option<Attempt<D>> {
        shared.settings.rollout?;
        let open = Open {
            service: vm.service.clone(),
            version: vm.version.clone(),
            vm: vm.id.clone(),
            route: xxh3_64(route.as_bytes()),
            sent_at: shared.clock.now(),
            usual,
            is_recorded: false,
            is_bound: !kind.is_repeatable(),
        };
        let key = shared.rollouts.next_open.get();
        shared.rollouts.next_open.set(key + 1);
        shared.rollouts.open.borrow_mut().insert(key, open);
        Some(Attempt {
            shared: Rc::clone(shared),
            key,
        })
    }

    /// records the first event of a stream, or a complete response
    pub fn record_response(&self, is_failed: bool) {
        self.shared.record_sample(self.key, is_failed);
    }

    /// records that a stream has begun, which goes on at the version of this VM only
    pub fn bind(&self) {
        let mut open = self.shared.rollouts.open.borrow_mut();
        if let Some(open) = open.get_mut(&self.key) {
            open.is_bound = true;
        }
    }
}

impl<D: Dialect> Drop for Attempt<D> {
    fn drop(&mut self) {
        self.shared.rollouts.open.borrow_mut().remove(&self.key);
    }
}

impl<D: Dialect> Shared<D> {
    fn record_sample(&self, key: u64, is_failed: bool) {
        let now = self.clock.now();
        let mut open = self.rollouts.open.borrow_mut();
        let Some(open) = open.get_mut(&key) else {
            return;
        };
        if std::mem::replace(&mut open.is_recorded, true) {
            return;
        }
        let ratio = open.ratio(now);
        self.add_sample(open, is_failed, ratio, now);
    }

    /// records the attempts that have been without a response for long
    pub(super) fn record_late_attempts(&self) {
        let now = self.clock.now();
        for open in self.rollouts.open.borrow_mut().values_mut() {
            let time = now.saturating_duration_since(open.sent_at);
            let late = open.usual.mul_f64(LATE_RATIO).max(MIN_LATE_TIME);
            if open.is_recorded || time < late {
                continue;
            }
            open.is_recorded = true;
            let ratio = open.ratio(now);
            self.add_sample(open, false, ratio, now);
        }
    }

    fn add_sample(&self, open: &Open, is_failed: bool, ratio: f64, now: Instant) {
        let mut all = self.rollouts.active.borrow_mut();
        let in_progress = all.values_mut().filter(|active| active.is_in_progress());
        for active in in_progress.filter(|active| active.order.service == open.service) {
            // an attempt that was sent before the request says nothing of it
            if open.sent_at < active.started_at {
                continue;
            }
            // by the second of sending, the latest seconds would hold the fast responses only
            let elapsed = now.saturating_duration_since(active.started_at);
            let second = u32::try_from(elapsed.as_secs()).unwrap_or(u32::MAX);
            let is_target = open.version == active.order.target;
            let sample = Sample {
                vm: &open.vm,
                is_failed,
                ratio: Some(ratio),
            };
            active
                .evidence
                .record(second, is_target, open.route, &sample);
            let outcome = match (is_failed, ratio >= LATE_RATIO) {
                (true, _) => "failed",
                (false, true) => "slow",
                (false, false) => "answered",
            };
            let time = now.saturating_duration_since(open.sent_at);
            self.count_version(open, outcome, time);
        }
    }

    fn count_version(&self, open: &Open, outcome: &str, time: Duration) {
        let labels = [open.service.as_str(), open.version.as_str(), outcome];
        let metrics = &self.metrics;
        metrics.versions.with_label_values(&labels).inc();
        if outcome == "answered" {
            return;
        }
        let Some(left_out) = self.permit_log("rollout_sample") else {
            return;
        };
        tracing::info!(
            event = "rollout_sample",
            service = open.service,
            version = open.version,
            vm = open.vm,
            outcome,
            took_ms = time.as_millis() as u64,
            usual_ms = open.usual.as_millis() as u64,
            left_out,
        );
    }
}

impl Open {
    /// time since it was sent in multiples of the usual one
    fn ratio(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.sent_at);
        time.as_secs_f64() / self.usual.as_secs_f64().max(f64::EPSILON)
    }
}
