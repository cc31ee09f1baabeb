//! Rate limits for log lines.
//!
//! Each kind of line has its own token bucket. Suppressed lines are counted, and the next
//! line of the same kind reports the count, so that a reader knows how many are missing.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// sustained rate of each kind of line
const LINES_PER_SECOND: f64 = 20.0;

/// lines of one kind that may be written in a burst
const LINE_BURST: f64 = 100.0;

/// token buckets by kind of line
#[derive(Debug)]
pub struct Sampler {
    buckets: HashMap<&'static str, Bucket>,
    start: Instant,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    updated: Instant,
    suppressed: u64,
}

impl Sampler {
    /// creates a sampler whose buckets are full
    pub fn new(now: Instant) -> Sampler {
        Sampler {
            buckets: HashMap::new(),
            start: now,
        }
    }

    /// the number of lines suppressed since the last one if a line may be written, else none
    pub fn permit(&mut self, kind: &'static str, now: Instant) -> Option<u64> {
        let start = self.start;
        let bucket = self.buckets.entry(kind).or_insert(Bucket {
            tokens: LINE_BURST,
            updated: start,
            suppressed: 0,
        });
        let elapsed: Duration = now.saturating_duration_since(bucket.updated);
        let refilled = bucket.tokens + elapsed.as_secs_f64() * LINES_PER_SECOND;
        bucket.tokens = refilled.min(LINE_BURST);
        bucket.updated = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.suppressed))
    }
}
