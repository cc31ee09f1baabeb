//! A monotonic clock that includes the time for which the VM was suspended.
//!
//! The runtime's clock does not advance while the VM is suspended. Whatever other processes
//! rely on, such as leases and the age of received state, has to include that time.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// the runtime's clock plus the time of suspension since [`Clock::start`]
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    suspended_at_start: Duration,
}

impl Clock {
    /// a clock that adds the time of suspension from now on
    pub fn start() -> Clock {
        Clock {
            suspended_at_start: suspended(),
        }
    }

    /// the current time, suspension included
    pub fn now(&self) -> Instant {
        Instant::now() + suspended().saturating_sub(self.suspended_at_start)
    }
}

/// total time of suspension since the VM booted; zero if the clocks can't be read
fn suspended() -> Duration {
    let read = |id| clock_gettime(id).map(Duration::from);
    match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(boot), Ok(monotonic)) => boot.saturating_sub(monotonic),
        (boot, steady) => {
            tracing::error!(event = "clock_unreadable", ?boot, ?steady);
            Duration::ZERO
        }
    }
}

/// whole milliseconds of a time, as in messages
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
