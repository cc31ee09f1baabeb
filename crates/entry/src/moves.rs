//! What is known for moving streams: notices of VMs and the pace of KV caches.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use route::resume::Kv;
use tokio::time::Instant;

use crate::lock;

/// time left to a VM that leaves without a stated time
const UNSTATED: Duration = Duration::from_secs(10);
/// time after which a name may stand for another VM
const NAME_REST: Duration = Duration::from_secs(5);
/// size of a KV cache before one was moved, bytes per token
const BYTES_PER_TOKEN: f64 = 1024.0;
/// rate of a move before one was made, bytes per second
const BYTES_PER_SECOND: f64 = 64.0 * 1024.0 * 1024.0;
/// weight of the newest move in the means
const WEIGHT: f64 = 0.3;

/// what is known for moving streams
#[derive(Debug, Default)]
pub struct Moves {
    notices: Mutex<HashMap<String, Instant>>,
    pace: Mutex<Pace>,
}

#[derive(Debug)]
struct Pace {
    bytes_per_token: f64,
    bytes_per_second: f64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            bytes_per_token: BYTES_PER_TOKEN,
            bytes_per_second: BYTES_PER_SECOND,
        }
    }
}

impl Moves {
    /// notes when a VM is taken; the earliest word counts, unless it was about an
    /// earlier VM of that name
    pub fn notice(&self, vm: &str, until: Instant, now: Instant) {
        let mut notices = lock(&self.notices);
        let known = notices.entry(vm.to_owned()).or_insert(until);
        let is_past = *known + NAME_REST < now;
        *known = if is_past { until } else { until.min(*known) };
    }

    /// time left to a VM that is leaving
    pub fn left(&self, vm: &str, now: Instant) -> Duration {
        match lock(&self.notices).get(vm) {
            Some(until) => until.saturating_duration_since(now),
            None => UNSTATED,
        }
    }

    /// forgets notices whose time is long past
    pub fn sweep(&self, now: Instant) {
        lock(&self.notices).retain(|_, until| now < *until + Duration::from_secs(3600));
    }

    /// learns from a KV cache that was moved
    pub fn learn(&self, tokens: u32, bytes: u64, took: Duration) {
        if tokens == 0 || bytes == 0 || took.is_zero() {
            return;
        }
        let mut pace = lock(&self.pace);
        let size = bytes as f64 / f64::from(tokens);
        let rate = bytes as f64 / took.as_secs_f64();
        pace.bytes_per_token += WEIGHT * (size - pace.bytes_per_token);
        pace.bytes_per_second += WEIGHT * (rate - pace.bytes_per_second);
    }

    /// the expected KV cache of some tokens
    pub fn kv(&self, tokens: u32) -> Kv {
        let pace = lock(&self.pace);
        Kv {
            bytes: (f64::from(tokens) * pace.bytes_per_token) as u64,
            bytes_per_second: pace.bytes_per_second as u64,
            tokens,
        }
    }
}
