//! Life cycle of the daemon's request path.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use macro_rules_attribute::apply;
use route::drain::Schedule;
use schema::value;
use tokio::time::Instant;

/// stage of the daemon's life cycle
#[apply(value!)]
pub enum Stage {
    /// no configuration yet; requests are refused
    Starting,
    /// requests are accepted
    Serving,
    /// requests are accepted, but the readiness check asks the load balancer to send no more
    Draining,
    /// requests are refused; those in flight are handed over
    Closing,
}

/// the current stage, shared by all threads
#[derive(Debug)]
pub struct Lifecycle {
    stage: AtomicU8,
    drain: OnceLock<Schedule>,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle {
            stage: AtomicU8::new(Stage::Starting as u8),
            drain: OnceLock::new(),
        }
    }
}

impl Lifecycle {
    /// the current stage
    pub fn get(&self) -> Stage {
        match self.stage.load(Ordering::Acquire) {
            0 => Stage::Starting,
            1 => Stage::Serving,
            2 => Stage::Draining,
            _ => Stage::Closing,
        }
    }

    /// advances to a stage; ignored if the current stage is a later one
    pub fn advance(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
    }

    /// begins to drain
    pub fn start_drain(&self, schedule: Schedule) {
        if self.drain.set(schedule).is_err() {
            tracing::debug!(event = "drain_known");
        }
        self.advance(Stage::Draining);
    }

    /// whether a call is taken that can't be handed over to another daemon and lasts up to `time_limit`
    pub fn admits(&self, now: Instant, time_limit: Duration) -> bool {
        let drain = self.drain.get();
        drain.is_none_or(|drain| drain.admits(now, time_limit))
    }
}
