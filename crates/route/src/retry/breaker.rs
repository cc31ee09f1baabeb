//! A circuit breaker for one upstream VM.
//!
//! While closed, it counts consecutive connection failures. At the threshold it opens for
//! a time that doubles with each consecutive opening and is jittered, so that daemons do
//! not probe at the same time. It then admits one probe: success closes the breaker,
//! failure opens it again.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::value;
use tokio::time::Instant;

use super::Kind;

/// consecutive failures that open the breaker
const FAILURE_THRESHOLD: u32 = 3;

/// open time after the first opening, before jitter
const INITIAL_OPEN: Duration = Duration::from_millis(500);

/// longest open time before jitter
const MAX_OPEN: Duration = Duration::from_secs(15);

/// time after which a probe without a result no longer blocks the next one
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// which requests a breaker admits
#[apply(value!)]
pub enum Phase {
    /// all requests
    Closed,
    /// no requests
    Open,
    /// one probe
    HalfOpen,
}

/// circuit breaker of one VM
#[apply(value!)]
pub struct Breaker {
    failures: u32,
    openings: u32,
    open_until: Option<Instant>,
    probe_started: Option<Instant>,
}

impl Default for Breaker {
    fn default() -> Breaker {
        Breaker::new()
    }
}

impl Breaker {
    /// creates a closed breaker
    pub fn new() -> Breaker {
        Breaker {
            failures: 0,
            openings: 0,
            open_until: None,
            probe_started: None,
        }
    }

    /// phase at the given time
    pub fn phase(&self, now: Instant) -> Phase {
        match self.open_until {
            None => Phase::Closed,
            Some(open_until) if now < open_until => Phase::Open,
            Some(_) => Phase::HalfOpen,
        }
    }

    /// whether a request would be admitted
    pub fn permits(&self, now: Instant) -> bool {
        match self.phase(now) {
            Phase::Closed => true,
            Phase::Open => false,
            Phase::HalfOpen => self
                .probe_started
                .is_none_or(|started| now >= started + PROBE_TIMEOUT),
        }
    }

    /// time until the breaker turns half-open; zero if it is not open
    pub fn wait(&self, now: Instant) -> Duration {
        match self.open_until {
            Some(open_until) => open_until.saturating_duration_since(now),
            None => Duration::ZERO,
        }
    }

    /// admits a request if allowed; in the half-open phase it becomes the probe
    pub fn acquire(&mut self, now: Instant) -> bool {
        if !self.permits(now) {
            return false;
        }
        if self.phase(now) == Phase::HalfOpen {
            self.probe_started = Some(now);
        }
        true
    }

    /// records that the VM answered, which closes the breaker
    pub fn record_success(&mut self) {
        *self = Breaker::new();
    }

    /// records that a request ended without showing whether the VM is reachable
    pub fn release_probe(&mut self) {
        self.probe_started = None;
    }

    /// records a failure; one of any other kind than the connection's shows that the VM is
    /// reachable and closes the breaker
    ///
    /// `jitter` is a random number from 0 to 1.
    pub fn record_failure(&mut self, kind: Kind, jitter: f64, now: Instant) {
        if !kind.counts_for_breaker() {
            self.record_success();
            return;
        }
        match self.phase(now) {
            Phase::Closed => {
                self.failures += 1;
                if self.failures >= FAILURE_THRESHOLD {
                    self.open(jitter, now);
                }
            }
            Phase::Open => (),
            Phase::HalfOpen => self.open(jitter, now),
        }
    }

    fn open(&mut self, jitter: f64, now: Instant) {
        let doubled = INITIAL_OPEN * 2_u32.saturating_pow(self.openings.min(10));
        let open_for = doubled.min(MAX_OPEN).mul_f64(0.5 + jitter.clamp(0.0, 1.0));
        self.failures = 0;
        self.openings += 1;
        self.open_until = Some(now + open_for);
        self.probe_started = None;
    }
}
