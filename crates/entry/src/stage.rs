//! The life of the daemon, as callers feel it.

use std::sync::atomic::{AtomicU8, Ordering};

use macro_rules_attribute::apply;
use schema::value;

/// the life of the daemon
#[apply(value!)]
pub enum Phase {
    /// has no configuration yet
    Starting,
    /// takes requests
    Serving,
    /// takes requests, but tells the balancer to send no more
    Draining,
    /// takes no requests; those in flight are handed over
    Closing,
}

/// the phase in force, shared
#[derive(Debug)]
pub struct Stage(AtomicU8);

impl Default for Stage {
    fn default() -> Stage {
        Stage(AtomicU8::new(Phase::Starting as u8))
    }
}

impl Stage {
    /// the phase in force
    pub fn get(&self) -> Phase {
        match self.0.load(Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Serving,
            2 => Phase::Draining,
            _ => Phase::Closing,
        }
    }

    /// goes on to a phase; there is no way back
    pub fn advance(&self, phase: Phase) {
        self.0.fetch_max(phase as u8, Ordering::AcqRel);
    }
}
