//! A circuit breaker for one upstream VM.
//!
//! Closed, it counts consecutive failures of the connection. At the threshold it opens
//! for a time that doubles with each opening in a row and is jittered, so that daemons
//! do not probe together. Then one probe is let through: success closes the breaker,
//! failure opens it again.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::value;
use tokio::time::Instant;

use super::Kind;

/// consecutive failures that open the breaker
const THRESHOLD: u32 = 3;

/// open time after the first opening
const OPEN_FIRST: Duration = Duration::from_millis(500);

/// longest open time before jitter
const OPEN_LONGEST: Duration = Duration::from_secs(15);

/// time after which a probe without an outcome makes room for another
const PROBE_LONGEST: Duration = Duration::from_secs(10);

/// what a breaker lets through
#[apply(value!)]
pub enum Phase {
    /// everything
    Closed,
    /// nothing
    Open,
    /// one probe
    HalfOpen,
}

/// the breaker of one VM
#[apply(value!)]
pub struct Breaker {
    failures: u32,
    openings: u32,
    until: Option<Instant>,
    probe: Option<Instant>,
}

impl Default for Breaker {
    fn default() -> Breaker {
        Breaker::new()
    }
}

impl Breaker {
    /// returns a closed breaker
    pub fn new() -> Breaker {
        Breaker {
            failures: 0,
            openings: 0,
            until: None,
            probe: None,
        }
    }

    /// returns the phase at a time
    pub fn phase(&self, now: Instant) -> Phase {
        match self.until {
            None => Phase::Closed,
            Some(until) if now < until => Phase::Open,
            Some(_) => Phase::HalfOpen,
        }
    }

    /// tells whether a request would be let through
    pub fn permits(&self, now: Instant) -> bool {
        match self.phase(now) {
            Phase::Closed => true,
            Phase::Open => false,
            Phase::HalfOpen => self.probe.is_none_or(|since| now >= since + PROBE_LONGEST),
        }
    }

    /// returns the time until the next request could be let through
    pub fn wait(&self, now: Instant) -> Duration {
        match self.until {
            Some(until) => until.saturating_duration_since(now),
            None => Duration::ZERO,
        }
    }

    /// lets a request through, or not; a half-open breaker takes it as the probe
    pub fn acquire(&mut self, now: Instant) -> bool {
        if !self.permits(now) {
            return false;
        }
        if self.phase(now) == Phase::HalfOpen {
            self.probe = Some(now);
        }
        true
    }

    /// records that the VM answered
    pub fn succeed(&mut self) {
        *self = Breaker::new();
    }

    /// records that a request ended without a word on the VM
    pub fn release(&mut self) {
        self.probe = None;
    }

    /// records a failure; only those of the connection count
    ///
    /// `jitter` is a random number from 0 to 1.
    pub fn fail(&mut self, kind: Kind, jitter: f64, now: Instant) {
        if !kind.counts_for_breaker() {
            self.succeed();
            return;
        }
        match self.phase(now) {
            Phase::Closed => {
                self.failures += 1;
                if self.failures >= THRESHOLD {
                    self.open(jitter, now);
                }
            }
            Phase::Open => (),
            Phase::HalfOpen => self.open(jitter, now),
        }
    }

    fn open(&mut self, jitter: f64, now: Instant) {
        let doubled = OPEN_FIRST * 2_u32.saturating_pow(self.openings.min(10));
        let time = doubled
            .min(OPEN_LONGEST)
            .mul_f64(0.5 + jitter.clamp(0.0, 1.0));
        self.failures = 0;
        self.openings += 1;
        self.until = Some(now + time);
        self.probe = None;
    }
}
