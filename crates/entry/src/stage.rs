//! Life cycle of the daemon's request path.

use std::sync::atomic::{AtomicU8, Ordering};

use macro_rules_attribute::apply;
use schema::value;

/// phase of the daemon's life cycle
#[apply(value!)]
pub enum Phase {
    /// no configuration yet; requests are refused
    Starting,
    /// requests are accepted
    Serving,
    /// requests are accepted, but the readiness check asks the load balancer to send no more
    Draining,
    /// requests are refused; those in flight are handed over
    Closing,
}

/// the current phase, shared by all threads
#[derive(Debug)]
pub struct Lifecycle(AtomicU8);

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle(AtomicU8::new(Phase::Starting as u8))
    }
}

impl Lifecycle {
    /// the current phase
    pub fn get(&self) -> Phase {
        match self.0.load(Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Serving,
            2 => Phase::Draining,
            _ => Phase::Closing,
        }
    }

    /// advances to a phase; ignored if the current phase is a later one
    pub fn advance(&self, phase: Phase) {
        self.0.fetch_max(phase as u8, Ordering::AcqRel);
    }
}
