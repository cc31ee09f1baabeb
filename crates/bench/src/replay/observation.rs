//! A caller's observations of its call.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;
use schema::value;

/// how a call ended for its caller
#[apply(value!)]
pub enum End {
    /// complete and correct
    Complete,
    /// complete, but not the response to this call
    Wrong,
    /// failed with the verdict `not_run`
    NotRun,
    /// failed with the verdict `may_have_run`
    MayHaveRun,
    /// the response was cut off, or there was none
    Interrupted,
}

/// a caller's observations of its call
#[apply(data!)]
pub struct Observation {
    /// index of the call in the trace
    pub number: usize,
    /// how it ended
    pub end: End,
    /// failure reason; empty if the response was complete
    pub reason: String,
    /// time from the arrival in the trace to the first token
    pub first: Option<Duration>,
    /// times between tokens
    pub gaps: Vec<Duration>,
    /// number of tokens received
    pub tokens: u64,
    /// number of times the caller reattached to its stream
    pub reattached: u32,
    /// delay of sending behind the arrival in the trace
    pub late: Duration,
}

impl Observation {
    /// observations of a call that has not ended
    pub fn new(number: usize, late: Duration) -> Self {
        Self {
            number,
            end: End::Interrupted,
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
