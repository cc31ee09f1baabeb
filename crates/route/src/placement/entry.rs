use std::time::Duration;

use tokio::time::Instant;

use super::health::Health;
use super::load::Load;
use super::member::Member;
use super::plain::ResponseTime;
use super::prefix_cache::PrefixCache;
use super::speed::Speed;
use super::transfer::Link;
use crate::notice::Throttle;

/// retry delay if only other daemons may send to the VM: a caller that returns gets another daemon
const OTHER_SENDER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// cost of a VM that refuses requests of another daemon, as time: about that of a refused attempt
const REFUSAL_PENALTY: Duration = Duration::from_millis(100);

/// a VM and its state at this daemon
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub member: Member,
    pub local: Load,
    pub prefix_cache: PrefixCache,
    pub health: Health,
    pub response_time: ResponseTime,
    pub speed: Speed,
    pub link: Link,
    /// until when the VM wants no requests from this daemon
    pub closed_until: Option<Instant>,
    /// until when the VM wants no requests from another daemon
    pub avoided_until: Option<Instant>,
    /// limit on this daemon's requests, if the VM states one
    pub throttle: Option<Throttle>,
}

impl Entry {
    pub fn new(member: Member) -> Entry {
        Entry {
            member,
            local: Load::default(),
            prefix_cache: PrefixCache::default(),
            health: Health::new(),
            response_time: ResponseTime::default(),
            speed: Speed::default(),
            link: Link::default(),
            closed_until: None,
            avoided_until: None,
            throttle: None,
        }
    }

    /// time from which the VM accepts requests of this daemon; none if it does now
    pub fn opens_at(&self, now: Instant) -> Option<Instant> {
        let throttled = self.throttle.as_ref().map(|throttle| {
            let wait = throttle.wait(now);
            now + wait.unwrap_or(OTHER_SENDER_RETRY_AFTER)
        });
        self.closed_until.max(throttled).filter(|at| now < *at)
    }

    /// cost of a VM that refuses requests of another daemon
    pub fn refusal_penalty(&self, now: Instant) -> Duration {
        match self.avoided_until {
            Some(until) if now < until => REFUSAL_PENALTY,
            _ => Duration::ZERO,
        }
    }
}
