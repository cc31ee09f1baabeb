//! Polls a condition until it holds or a time-out expires.

use std::thread;
use std::time::{Duration, Instant};

/// pause between two polls
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// calls `probe` until it gives a value; none if `timeout` expires first
pub fn poll_until<T>(timeout: Duration, mut probe: impl FnMut() -> Option<T>) -> Option<T> {
    let deadline = Instant::now() + timeout;
    loop {
        if let Some(value) = probe() {
            return Some(value);
        }
        if Instant::now() >= deadline {
            return None;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// waits until `condition` holds
///
/// # Panics
/// If it does not hold within `timeout`.
pub fn eventually(what: &str, timeout: Duration, mut condition: impl FnMut() -> bool) {
    let held = poll_until(timeout, || condition().then_some(()));
    assert!(
        held.is_some(),
        "condition did not hold within {timeout:?}: {what}"
    );
}
