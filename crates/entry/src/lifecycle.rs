//! Life cycle of the daemon's request path.

use std::sync::atomic::{AtomicU8, Ordering};

use macro_rules_attribute::apply;
use schema::value;

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
pub struct Lifecycle(AtomicU8);

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle(AtomicU8::new(Stage::Starting as u8))
    }
}

impl Lifecycle {
    /// the current stage
    pub fn get(&self) -> Stage {
        match self.0.load(Ordering::Acquire) {
            0 => Stage::Starting,
            1 => Stage::Serving,
            2 => Stage::Draining,
            _ => Stage::Closing,
        }
    }

    /// advances to a stage; ignored if the current stage is a later one
    pub fn advance(&self, stage: Stage) {
        self.0.fetch_max(stage as u8, Ordering::AcqRel);
    }
}
