use std::time::Duration;

use tokio::time::Instant;

use super::changes::{TOKENS_PER_UNIT, key};
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
    /// the VM in messages about changes
    pub key: u32,
    pub local: Load,
    /// units of its work that peers know of
    pub told_units: i64,
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
            key: key(&member.id),
            member,
            local: Load::default(),
            told_units: 0,
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

    /// units of the work that this daemon has sent there
    pub fn units(&self) -> i64 {
        let units = match self.member.cache_tokens {
            Some(_) => self.local.prefill_tokens / TOKENS_PER_UNIT,
            None => u64::from(self.local.running),
        };
        i64::try_from(units).unwrap_or(i64::MAX)
    }

    /// a load with some units of work added
    pub fn changed(&self, load: Load, units: i64) -> Load {
        match self.member.cache_tokens {
            Some(_) => {
                let tokens = units.saturating_mul(TOKENS_PER_UNIT as i64);
                Load {
                    prefill_tokens: load.prefill_tokens.saturating_add_signed(tokens),
                    ..load
                }
            }
            None => {
                let requests = units.clamp(i32::MIN.into(), i32::MAX.into()) as i32;
                Load {
                    running: load.running.saturating_add_signed(requests),
                    ..load
                }
            }
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
