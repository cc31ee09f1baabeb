//! Confirmations of the configuration's freshness, exchanged between daemons.
//!
//! A confirmation states that no newer configuration existed at a time. It remains true when
//! it is passed on, as long as that time never moves forward: a daemon counts a received age
//! back from the time at which it sent its request.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use macro_rules_attribute::apply;
use schema::message;
use tokio::time::Instant;

use crate::clock::Clock;

/// statement that a version was the newest configuration some time ago
#[apply(message!)]
#[derive(Copy)]
pub struct Confirmation {
    /// the configuration's version
    pub version: u64,
    /// how long ago it was known to be the newest, milliseconds, rounded up
    pub age_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Confirmed {
    version: u64,
    at: Instant,
}

/// the latest time at which the configuration was known to be the newest; shared with the
/// threads that answer other daemons
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    confirmed: Arc<ArcSwapOption<Confirmed>>,
}

impl Freshness {
    /// records that no version newer than `version` existed at a time; the recorded time never
    /// moves back
    pub fn confirm(&self, version: u64, at: Instant) {
        let previous = self.confirmed.load();
        let at = previous.as_ref().map_or(at, |previous| previous.at.max(at));
        self.confirmed
            .store(Some(Arc::new(Confirmed { version, at })));
    }

    /// time since the latest confirmation
    pub fn age(&self, clock: Clock) -> Option<Duration> {
        let confirmed = self.confirmed.load();
        let at = confirmed.as_ref()?.at;
        Some(clock.now().saturating_duration_since(at))
    }

    /// the confirmation to answer another daemon with
    pub fn confirmation(&self, clock: Clock) -> Option<Confirmation> {
        let version = self.confirmed.load().as_ref()?.version;
        let age = self.age(clock)?;
        let age_ms = age.as_nanos().div_ceil(1_000_000);
        Some(Confirmation {
            version,
            age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX),
        })
    }
}
