use std::time::Duration;

use tokio::time::Instant;

/// time for which a refusal of a limit's owner answers further requests, for each daemon: all daemons
/// together ask the owner of a spent limit some 400 times a second
const TIME_PER_DAEMON: Duration = Duration::from_micros(2500);

/// shortest and longest such time
const MIN_TIME: Duration = Duration::from_millis(100);
const MAX_TIME: Duration = Duration::from_secs(1);

/// the last refusal of a limit's owner, which answers further requests of a daemon for a short time
///
/// Load pattern: a workspace sends many times its limit, and its callers repeat what is refused. If each
/// of these requests were a call to the owner, the owner could not answer the others in time, and the
/// daemons would spend their shares.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// smallest request that was refused
    units: f64,
    /// until when it answers
    valid_until: Instant,
    /// when the owner expects enough units to be available
    available_at: Instant,
    /// units refused since
    backlog: f64,
}

impl Refusal {
    /// a refusal of a request, with the owner's wait
    pub fn new(units: f64, wait: Duration, daemons: usize, now: Instant) -> Refusal {
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        let time = TIME_PER_DAEMON.saturating_mul(daemons);
        Refusal {
            units,
            valid_until: now + time.clamp(MIN_TIME, MAX_TIME).min(wait),
            available_at: now + wait,
            backlog: 0.0,
        }
    }

    /// the wait of another request, if it is refused as well; `rate` is that of the limit, at which the
    /// requests refused before it are expected to be admitted
    pub fn apply(&mut self, units: f64, rate: f64, now: Instant) -> Option<Duration> {
        if now >= self.valid_until || units < self.units {
            return None;
        }
        let ahead = (self.units + self.backlog) / rate.max(f64::MIN_POSITIVE);
        let ahead = Duration::try_from_secs_f64(ahead).unwrap_or(Duration::MAX);
        self.backlog += units;
        let wait = self.available_at.saturating_duration_since(now);
        Some(wait.saturating_add(ahead))
    }

    /// units refused without asking the owner
    pub fn backlog(&self) -> f64 {
        self.backlog
    }
}
