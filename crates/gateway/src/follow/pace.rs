use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

/// pause after the first failed call
const FIRST: Duration = Duration::from_millis(100);

/// longest pause between two calls that fail
const MOST: Duration = Duration::from_millis(800);

/// pauses between calls that fail, with jitter: all daemons lose the store together
#[derive(Debug, Default)]
pub(super) struct Pace {
    failures: u32,
}

impl Pace {
    /// notes a call that succeeded
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// waits before the next call
    pub async fn wait(&mut self) {
        let pause = (FIRST * 2u32.pow(self.failures.min(8))).min(MOST);
        self.failures += 1;
        sleep(pause.mul_f64(rand::rng().random_range(0.5..1.0))).await;
    }

    /// whether the last call failed as well
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}
