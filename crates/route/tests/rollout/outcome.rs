//! What became of a simulated roll-out.

use route::rollout::{Finding, State, Verdict};

/// time after these bad responses within which all daemons stop
pub const ROLLBACK_MS: u64 = 5000;

/// largest number of bad responses before the time of the stop counts
pub const BAD_BEFORE_STOP: usize = 50;

/// result of a roll-out
#[derive(Debug, Clone)]
pub struct Outcome {
    pub state: State,
    pub verdict: Verdict,
    pub requests: u64,
    pub exposed: u64,
    /// time of the last request to the new version after its 50th bad response
    pub late_ms: u64,
    pub ended_ms: u64,
    pub finding: Option<Finding>,
    /// naive policy: requests at the new version, the same time, and daemons that stopped
    pub naive_exposed: u64,
    pub naive_late_ms: u64,
    pub naive_stopped: usize,
}

impl Outcome {
    pub fn new(duration_ms: u64) -> Outcome {
        Outcome {
            state: State::InProgress,
            verdict: Verdict::Undecided,
            requests: 0,
            exposed: 0,
            late_ms: 0,
            ended_ms: duration_ms,
            finding: None,
            naive_exposed: 0,
            naive_late_ms: 0,
            naive_stopped: 0,
        }
    }

    /// exposure in multiples of its bound
    pub fn exposure(&self) -> f64 {
        self.exposed as f64 / self.bound()
    }

    /// whether the naive policy breaks a bound for a bad version
    pub fn is_naive_broken(&self) -> bool {
        self.naive_exposed as f64 > self.bound() || self.naive_late_ms > ROLLBACK_MS
    }

    fn bound(&self) -> f64 {
        0.1 * self.requests as f64 + 50.0
    }
}
