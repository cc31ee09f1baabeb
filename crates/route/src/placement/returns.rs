//! Retry delays of refused callers.
//!
//! Load pattern: hundreds of callers are refused in the same second. With the time until the best VM
//! has capacity, all of them return at once, and most are refused again. Their returns are spread
//! over the capacity that will be there: a caller gets the first time by which the callers told to
//! return so far, and this one, are no more than the part of the admissions that returning callers
//! may take. Each daemon does so for its own callers, of which it also sees its part of the returns.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// time constant of the rate of admissions
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// part of the admissions of a kind that callers who return may take; the rest is for new requests
const RETURNING_FRACTION: f64 = 0.5;

/// width of the intervals in which returns are counted
const SLOT: Duration = Duration::from_millis(100);

/// intervals counted; a caller with a time-out of 30 s returns in the last of them
const SLOTS: usize = 100;

/// part of the time left up to which callers follow a retry delay
const FOLLOWED_PART: u32 = 3;

/// shortest time left after the delay in which a request can be served: an idle engine takes 60 ms
/// and the prefill
const MIN_SERVICE_TIME: Duration = Duration::from_millis(150);

/// a caller that is refused
#[derive(Debug, Clone, Copy)]
pub struct Refused {
    /// time until the first VM has capacity
    pub available_in: Duration,
    /// time for which it still waits
    pub left: Duration,
    /// uniformly distributed over the requests
    pub draw: u64,
}

/// returns and admissions of one kind of request of a service
#[derive(Debug, Clone)]
struct Kind {
    /// admissions per second
    rate: f64,
    updated_at: Instant,
    /// callers told to return, by interval from `first` on, in a ring
    told: [u16; SLOTS],
    first: u64,
}

/// returns and admissions of all kinds, by service and priority
#[derive(Debug, Clone)]
pub struct Returns {
    start: Instant,
    kinds: HashMap<String, HashMap<u8, Kind>>,
}

impl Returns {
    /// state of a daemon that has just started
    pub fn new(now: Instant) -> Returns {
        Returns {
            start: now,
            kinds: HashMap::new(),
        }
    }

    /// counts a request that was accepted
    pub fn record_admitted(&mut self, service: &str, priority: u8, now: Instant) {
        let kind = self.kind(service, priority, now);
        kind.rate += 1.0 / TIME_CONSTANT.as_secs_f64();
    }

    /// delay after which a refused caller returns; none if it can't be served in its time
    pub fn delay(
        &mut self,
        service: &str,
        priority: u8,
        refused: &Refused,
        now: Instant,
    ) -> Option<Duration> {
        let longest = refused.left / FOLLOWED_PART;
        let earliest = refused.available_in.max(longest);
        if refused.left < earliest + MIN_SERVICE_TIME {
            return None;
        }
        let now_slot = slot(now.saturating_duration_since(self.start));
        let kind = self.kind(service, priority, now);
        let part = refused.draw as f64 / u64::MAX as f64;
        let from = slot(refused.available_in.min(longest));
        let last = slot(longest).min(SLOTS as u64 - 1).max(from);
        let per_slot = kind.rate * RETURNING_FRACTION * SLOT.as_secs_f64();
        let mut before: f64 = (0..from).map(|slot| kind.told(now_slot + slot)).sum();
        let free = (from..=last).find(|slot| {
            before += kind.told(now_slot + slot);
            before < per_slot * (slot + 1 - from) as f64
        });
        // without a free interval, anywhere until the caller no longer follows the delay
        let chosen = free.unwrap_or(from + ((last - from) as f64 * part).round() as u64);
        kind.tell(now_slot + chosen);
        let delay = SLOT.mul_f64(chosen as f64 + part);
        Some(delay.max(refused.available_in.min(longest)).min(longest))
    }

    fn kind(&mut self, service: &str, priority: u8, now: Instant) -> &mut Kind {
        let first = slot(now.saturating_duration_since(self.start));
        if !self.kinds.contains_key(service) {
            self.kinds.insert(service.to_owned(), HashMap::new());
        }
        let kinds = self.kinds.entry(service.to_owned()).or_default();
        let kind = kinds.entry(priority).or_insert(Kind {
            rate: 0.0,
            updated_at: now,
            told: [0; SLOTS],
            first,
        });
        kind.advance(first, now);
        kind
    }
}

/// number of whole intervals in a time
fn slot(time: Duration) -> u64 {
    (time.as_millis() / SLOT.as_millis()) as u64
}

impl Kind {
    /// forgets the intervals before one, and lets the rate decay
    fn advance(&mut self, first: u64, now: Instant) {
        for passed in (self.first..first).take(SLOTS) {
            self.told[passed as usize % SLOTS] = 0;
        }
        self.first = self.first.max(first);
        let passed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.rate *= (-passed / TIME_CONSTANT.as_secs_f64()).exp();
        self.updated_at = self.updated_at.max(now);
    }

    fn told(&self, slot: u64) -> f64 {
        f64::from(self.told[slot as usize % SLOTS])
    }

    fn tell(&mut self, slot: u64) {
        let told = &mut self.told[slot as usize % SLOTS];
        *told = told.saturating_add(1);
    }
}
