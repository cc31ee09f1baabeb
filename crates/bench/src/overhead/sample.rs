//! Times of many streams.

use std::time::Duration;

use hdrhistogram::Histogram;

/// longest time that is told apart, microseconds
const LONGEST_US: u64 = 60_000_000;

/// significant digits
const DIGITS: u8 = 3;

/// first tokens and gaps of many streams
#[derive(Debug)]
pub struct Sample {
    first: Histogram<u64>,
    gaps: Histogram<u64>,
    /// streams that were whole
    pub whole: u64,
    /// streams that were not
    pub failed: u64,
    /// tokens that came
    pub tokens: u64,
}

impl Sample {
    /// no streams
    pub fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, LONGEST_US, DIGITS);
        Self {
            first: histogram().expect("constant bounds are valid"),
            gaps: histogram().expect("constant bounds are valid"),
            whole: 0,
            failed: 0,
            tokens: 0,
        }
    }

    /// adds a whole stream
    pub fn add(&mut self, first: Duration, gaps: &[Duration]) {
        self.first.saturating_record(first.as_micros() as u64);
        for gap in gaps {
            self.gaps.saturating_record(gap.as_micros() as u64);
        }
        self.whole += 1;
        self.tokens += gaps.len() as u64 + 1;
    }

    /// adds another sample
    pub fn merge(&mut self, other: &Sample) {
        self.first
            .add(&other.first)
            .expect("the bounds are the same");
        self.gaps.add(&other.gaps).expect("the bounds are the same");
        self.whole += other.whole;
        self.failed += other.failed;
        self.tokens += other.tokens;
    }

    /// time to the first token at a percentile, milliseconds
    pub fn first_ms(&self, percentile: f64) -> f64 {
        self.first.value_at_percentile(percentile) as f64 / 1_000.0
    }

    /// time between tokens at a percentile, milliseconds
    pub fn gap_ms(&self, percentile: f64) -> f64 {
        self.gaps.value_at_percentile(percentile) as f64 / 1_000.0
    }
}

impl Default for Sample {
    fn default() -> Self {
        Self::new()
    }
}
