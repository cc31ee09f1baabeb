//! A bandwidth limit that several senders share.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// limits the total rate of all senders that share it
#[derive(Debug)]
pub struct RateLimiter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    bytes_per_second: u64,
    free_at: Instant,
}

impl RateLimiter {
    /// a limit in bytes per second; 0 for no limit
    pub fn new(bytes_per_second: u64) -> Self {
        let state = State {
            bytes_per_second,
            free_at: Instant::now(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// sets the limit in bytes per second, 0 for no limit; earlier reservations no longer count
    pub fn set(&self, bytes_per_second: u64) {
        let mut state = self.state.lock().expect("rate limiter lock poisoned");
        state.bytes_per_second = bytes_per_second;
        state.free_at = Instant::now();
    }

    /// reserves `bytes` and returns when their transmission ends
    pub fn reserve(&self, bytes: usize) -> Instant {
        let mut state = self.state.lock().expect("rate limiter lock poisoned");
        let now = Instant::now();
        if state.bytes_per_second == 0 {
            return now;
        }
        let micros = bytes as u64 * 1_000_000 / state.bytes_per_second;
        state.free_at = state.free_at.max(now) + Duration::from_micros(micros);
        state.free_at
    }
}
