//! One-byte encoding of queueing time, for the load levels that daemons exchange.
//!
//! Level 0 means no queue. Each further level is 7 % longer than the one before, from
//! 100 µs at level 1 to about 48 minutes at level 255.

use std::time::Duration;

/// queueing time of level 1, microseconds
const MIN_QUEUE_US: f64 = 100.0;

/// ratio of the queueing times of two consecutive levels
const RATIO: f64 = 1.07;

/// returns the level nearest to a queueing time
pub fn encode(queue: Duration) -> u8 {
    let micros = queue.as_secs_f64() * 1e6;
    if micros < MIN_QUEUE_US / 2.0 {
        return 0;
    }
    let steps = (micros / MIN_QUEUE_US).ln() / RATIO.ln();
    (steps.round() + 1.0).clamp(1.0, 255.0) as u8
}

/// returns the queueing time of a level
pub fn decode(level: u8) -> Duration {
    if level == 0 {
        return Duration::ZERO;
    }
    let micros = MIN_QUEUE_US * RATIO.powi(i32::from(level) - 1);
    Duration::from_secs_f64(micros / 1e6)
}
