//! A steady clock that counts the time for which the VM was suspended.
//!
//! The runtime's clock stands still while a VM is suspended. Whatever other processes
//! rely on, such as leases and the age of what was heard, has to count that time.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// reads the runtime's clock plus the time of suspension since a start
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    suspended_at_start: Duration,
}

impl Clock {
    /// starts a clock
    pub fn start() -> Clock {
        Clock {
            suspended_at_start: suspended(),
        }
    }

    /// the time now
    pub fn now(&self) -> Instant {
        Instant::now() + suspended().saturating_sub(self.suspended_at_start)
    }
}

/// total time of suspension since the VM booted; zero where the system does not tell
fn suspended() -> Duration {
    let read = |id| clock_gettime(id).map(Duration::from);
    match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(boot), Ok(steady)) => boot.saturating_sub(steady),
        (boot, steady) => {
            tracing::error!(event = "clock_unreadable", ?boot, ?steady);
            Duration::ZERO
        }
    }
}
