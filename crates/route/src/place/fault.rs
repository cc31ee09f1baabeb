use std::time::Duration;

use tokio::time::Instant;

/// weight of one more outcome in the share of failures
const WEIGHT: f64 = 0.08;

/// share of failures above the service's own that shows a fault of the VM
const EXCESS: f64 = 0.15;

/// what a share of failures of 1 adds to the expected time
const PENALTY: Duration = Duration::from_millis(3000);

/// time without a word, while it has work, after which a VM counts as dark
const DARK: Duration = Duration::from_millis(900);

/// time for which a VM that broke a connection is chosen last, doubled by each more
const PAUSE_FIRST: Duration = Duration::from_millis(400);

/// longest such time: a VM that is back is worth finding out within a few seconds
const PAUSE_MOST: Duration = Duration::from_millis(3200);

/// how a VM has answered lately
#[derive(Debug, Clone)]
pub(super) struct Record {
    failures: f64,
    breaks: u32,
    paused_until: Option<Instant>,
    heard: Option<Instant>,
    busy_since: Option<Instant>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            failures: 0.0,
            breaks: 0,
            paused_until: None,
            heard: None,
            busy_since: None,
        }
    }

    /// the VM said something
    pub fn hear(&mut self, now: Instant) {
        self.heard = Some(now);
    }

    /// the VM got a request while it had none
    pub fn wake(&mut self, now: Instant) {
        self.busy_since = Some(now);
    }

    /// the VM has no request any more
    pub fn rest(&mut self) {
        self.busy_since = None;
    }

    /// a request was answered, well or not
    pub fn answered(&mut self, well: bool) {
        let value = if well { 0.0 } else { 1.0 };
        self.failures += (value - self.failures) * WEIGHT;
        if well {
            self.breaks = 0;
        }
    }

    /// a connection broke, or could not be made
    pub fn broke(&mut self, now: Instant) {
        self.answered(false);
        let pause = PAUSE_FIRST * 2u32.pow(self.breaks.min(8));
        self.paused_until = Some(now + pause.min(PAUSE_MOST));
        self.breaks += 1;
    }

    /// refuse to choose the VM for a time
    pub fn pause(&mut self, time: Duration, now: Instant) {
        let until = now + time;
        self.paused_until = Some(self.paused_until.map_or(until, |known| known.max(until)));
    }

    /// whether the VM is to be chosen only if there is no other
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until) || self.is_dark(now)
    }

    /// what the VM's failures add to its expected time
    pub fn penalty(&self, usual: f64) -> Duration {
        let excess = (self.failures - usual - EXCESS).max(0.0);
        PENALTY.mul_f64(excess)
    }

    fn is_dark(&self, now: Instant) -> bool {
        let Some(since) = self.busy_since else {
            return false;
        };
        let last = self.heard.map_or(since, |heard| heard.max(since));
        now.saturating_duration_since(last) > DARK
    }
}
