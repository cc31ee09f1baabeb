//! What a caller saw of its call.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;
use schema::value;

/// how a call ended for its caller
#[apply(value!)]
pub enum End {
    /// whole, and the caller's own
    Whole,
    /// whole, but not what belongs to the call
    Wrong,
    /// refused; the caller was told that it did not run
    NotRun,
    /// given up; the caller was told that it may have run
    MayHaveRun,
    /// the answer broke off, or none came
    Broken,
}

/// what a caller saw of its call
#[apply(data!)]
pub struct Seen {
    /// place of the call in the trace
    pub number: usize,
    /// how it ended
    pub end: End,
    /// why it was not whole
    pub reason: String,
    /// time from the arrival in the trace to the first token
    pub first: Option<Duration>,
    /// times between tokens
    pub gaps: Vec<Duration>,
    /// tokens that came
    pub tokens: u64,
    /// times the caller came back to its answer
    pub reattached: u32,
    /// time by which the bench sent it late
    pub late: Duration,
}

impl Seen {
    /// a call that has not ended yet
    pub fn new(number: usize, late: Duration) -> Self {
        Self {
            number,
            end: End::Broken,
            reason: String::new(),
            first: None,
            gaps: Vec::new(),
            tokens: 0,
            reattached: 0,
            late,
        }
    }

    /// mean time between tokens
    pub fn mean_gap(&self) -> Duration {
        let count = u32::try_from(self.gaps.len()).unwrap_or(u32::MAX).max(1);
        self.gaps.iter().sum::<Duration>() / count
    }
}
