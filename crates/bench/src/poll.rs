//! Waiting for a condition instead of a time.

use std::thread;
use std::time::{Duration, Instant};

/// pause between two looks
const PERIOD: Duration = Duration::from_millis(10);

/// looks until there is a value; none when `patience` is over
pub fn poll_until<T>(patience: Duration, mut look: impl FnMut() -> Option<T>) -> Option<T> {
    let deadline = Instant::now() + patience;
    loop {
        if let Some(value) = look() {
            return Some(value);
        }
        if Instant::now() >= deadline {
            return None;
        }
        thread::sleep(PERIOD);
    }
}

/// waits until `condition` holds
///
/// # Panics
/// When it does not within `patience`.
pub fn eventually(what: &str, patience: Duration, mut condition: impl FnMut() -> bool) {
    let held = poll_until(patience, || condition().then_some(()));
    assert!(held.is_some(), "not within {patience:?}: {what}");
}
