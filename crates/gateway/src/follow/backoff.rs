use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

/// pause after the first failed call, before jitter
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// longest pause between two failed calls
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// exponential backoff of failing calls, with jitter because all daemons lose the store at once
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// resets the pause after a successful call
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// waits before the next call
    pub async fn wait(&mut self) {
        let pause = (MIN_PAUSE * 2u32.pow(self.failures.min(8))).min(MAX_PAUSE);
        self.failures += 1;
        sleep(pause.mul_f64(rand::rng().random_range(0.5..1.0))).await;
    }

    /// whether no call has succeeded since the last [`Backoff::wait`]
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}
