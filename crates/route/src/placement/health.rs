use std::time::Duration;

use tokio::time::Instant;

/// weight of a new outcome in the moving average of failures
const OUTCOME_WEIGHT: f64 = 0.08;

/// failure rate above the service's baseline that is tolerated before a VM is penalised
const TOLERATED_EXCESS: f64 = 0.15;

/// addition to the expected time at an excess failure rate of 1
const FAILURE_PENALTY: Duration = Duration::from_millis(3000);

/// time without activity after which a VM with requests in flight counts as unresponsive
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(900);

/// time for which a VM is avoided after a broken connection, doubled by each further one
const INITIAL_PAUSE: Duration = Duration::from_millis(400);

/// longest such time: a VM that has recovered has to be used again within a few seconds
const MAX_PAUSE: Duration = Duration::from_millis(3200);

/// recent health of a VM
#[derive(Debug, Clone)]
pub(super) struct Health {
    failures: f64,
    consecutive_breaks: u32,
    paused_until: Option<Instant>,
    last_activity: Option<Instant>,
    busy_since: Option<Instant>,
    /// first and last of the failed attempts to connect since its last response
    unreachable: Option<(Instant, Instant)>,
}

impl Health {
    pub fn new() -> Health {
        Health {
            failures: 0.0,
            consecutive_breaks: 0,
            paused_until: None,
            last_activity: None,
            busy_since: None,
            unreachable: None,
        }
    }

    /// records that data was received from the VM
    pub fn record_activity(&mut self, now: Instant) {
        self.last_activity = Some(now);
        self.unreachable = None;
    }

    /// records that no connection to the VM could be made
    pub fn record_unreachable(&mut self, now: Instant) {
        let first = self.unreachable_since(now).unwrap_or(now);
        self.unreachable = Some((first, now));
    }

    /// since when no connection to the VM could be made, unless it is to be tried again
    pub fn unreachable_since(&self, now: Instant) -> Option<Instant> {
        let (first, last) = self.unreachable?;
        (now < last + MAX_PAUSE).then_some(first)
    }

    /// when data was last received from the VM
    pub fn last_activity(&self) -> Option<Instant> {
        self.last_activity
    }

    /// records that the VM got a request while it had none
    pub fn mark_busy(&mut self, now: Instant) {
        self.busy_since = Some(now);
    }

    /// records that the VM has no request in flight any more
    pub fn mark_idle(&mut self) {
        self.busy_since = None;
    }

    /// records whether a request was answered successfully
    pub fn record_answer(&mut self, ok: bool) {
        let value = if ok { 0.0 } else { 1.0 };
        self.failures += (value - self.failures) * OUTCOME_WEIGHT;
        if ok {
            self.consecutive_breaks = 0;
        }
    }

    /// records a broken or failed connection
    pub fn record_broken(&mut self, now: Instant) {
        self.record_answer(false);
        let pause = INITIAL_PAUSE * 2u32.pow(self.consecutive_breaks.min(8));
        self.paused_until = Some(now + pause.min(MAX_PAUSE));
        self.consecutive_breaks += 1;
    }

    /// avoids the VM for a time
    pub fn pause(&mut self, time: Duration, now: Instant) {
        let until = now + time;
        self.paused_until = Some(self.paused_until.map_or(until, |paused| paused.max(until)));
    }

    /// whether the VM is to be used only if there is no other
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until) || self.is_unresponsive(now)
    }

    /// addition to the VM's expected time for its failures
    pub fn penalty(&self, baseline: f64) -> Duration {
        let excess = (self.failures - baseline - TOLERATED_EXCESS).max(0.0);
        FAILURE_PENALTY.mul_f64(excess)
    }

    fn is_unresponsive(&self, now: Instant) -> bool {
        let Some(since) = self.busy_since else {
            return false;
        };
        let last = self.last_activity.map_or(since, |at| at.max(since));
        now.saturating_duration_since(last) > UNRESPONSIVE_TIMEOUT
    }
}
