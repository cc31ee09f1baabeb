//! A shared limit on bytes per second.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// limits the bytes that all its users send together
#[derive(Debug)]
pub struct Pace {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    bytes_per_second: u64,
    free_at: Instant,
}

impl Pace {
    /// bytes per second; 0 for no limit
    pub fn new(bytes_per_second: u64) -> Self {
        let state = State {
            bytes_per_second,
            free_at: Instant::now(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// changes the limit, bytes per second; 0 for no limit
    pub fn set(&self, bytes_per_second: u64) {
        let mut state = self.state.lock().expect("pace lock");
        state.bytes_per_second = bytes_per_second;
        state.free_at = Instant::now();
    }

    /// books `bytes` and returns when they have passed
    pub fn book(&self, bytes: usize) -> Instant {
        let mut state = self.state.lock().expect("pace lock");
        let now = Instant::now();
        if state.bytes_per_second == 0 {
            return now;
        }
        let micros = bytes as u64 * 1_000_000 / state.bytes_per_second;
        state.free_at = state.free_at.max(now) + Duration::from_micros(micros);
        state.free_at
    }
}
