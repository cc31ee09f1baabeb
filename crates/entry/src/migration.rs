//! Input for the migration of streams: preemption notices of upstream VMs, and the size and
//! transfer rate of KV caches.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use route::resume::Kv;
use tokio::time::Instant;

use crate::lock;

/// time assumed until a VM without a recorded notice is reclaimed
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(10);
/// time after the end of a notice from which the name may belong to a new VM
const NAME_REUSE_DELAY: Duration = Duration::from_secs(5);
/// size of a KV cache, bytes per token, until a transfer was measured
const INITIAL_BYTES_PER_TOKEN: f64 = 1024.0;
/// transfer rate of a KV cache, bytes per second, until a transfer was measured
const INITIAL_BYTES_PER_SECOND: f64 = 64.0 * 1024.0 * 1024.0;
/// weight of the latest transfer in the moving averages
const AVERAGE_WEIGHT: f64 = 0.3;

/// preemption notices and averages over KV cache transfers
#[derive(Debug, Default)]
pub struct State {
    notices: Mutex<HashMap<String, Instant>>,
    averages: Mutex<Averages>,
}

#[derive(Debug)]
struct Averages {
    bytes_per_token: f64,
    bytes_per_second: f64,
}

impl Default for Averages {
    fn default() -> Averages {
        Averages {
            bytes_per_token: INITIAL_BYTES_PER_TOKEN,
            bytes_per_second: INITIAL_BYTES_PER_SECOND,
        }
    }
}

impl State {
    /// records that a VM is reclaimed at `until`; the earliest time counts, unless it belongs
    /// to an earlier VM of the same name
    pub fn record_notice(&self, vm: &str, until: Instant, now: Instant) {
        let mut notices = lock(&self.notices);
        let recorded = notices.entry(vm.to_owned()).or_insert(until);
        let is_past = *recorded + NAME_REUSE_DELAY < now;
        *recorded = if is_past { until } else { until.min(*recorded) };
    }

    /// time until a VM is reclaimed
    pub fn time_left(&self, vm: &str, now: Instant) -> Duration {
        match lock(&self.notices).get(vm) {
            Some(until) => until.saturating_duration_since(now),
            None => DEFAULT_TIME_LEFT,
        }
    }

    /// removes notices that ended more than an hour ago
    pub fn sweep(&self, now: Instant) {
        lock(&self.notices).retain(|_, until| now < *until + Duration::from_secs(3600));
    }

    /// updates the averages with a completed KV cache transfer
    pub fn record_transfer(&self, tokens: u32, bytes: u64, took: Duration) {
        if tokens == 0 || bytes == 0 || took.is_zero() {
            return;
        }
        let mut averages = lock(&self.averages);
        let size = bytes as f64 / f64::from(tokens);
        let rate = bytes as f64 / took.as_secs_f64();
        averages.bytes_per_token += AVERAGE_WEIGHT * (size - averages.bytes_per_token);
        averages.bytes_per_second += AVERAGE_WEIGHT * (rate - averages.bytes_per_second);
    }

    /// estimated KV cache of this many tokens
    pub fn estimate_kv(&self, tokens: u32) -> Kv {
        let averages = lock(&self.averages);
        Kv {
            bytes: (f64::from(tokens) * averages.bytes_per_token) as u64,
            bytes_per_second: averages.bytes_per_second as u64,
            tokens,
        }
    }
}
