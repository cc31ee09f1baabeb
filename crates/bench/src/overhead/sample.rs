//! Latencies of many streams.

use std::time::Duration;

use hdrhistogram::Histogram;

/// largest recorded time, microseconds; longer ones count as this
const MAX_US: u64 = 60_000_000;

/// precision of recorded times, decimal digits
const SIGNIFICANT_DIGITS: u8 = 3;

/// times to the first token and between tokens of many streams
#[derive(Debug)]
pub struct Sample {
    first: Histogram<u64>,
    gaps: Histogram<u64>,
    /// complete streams
    pub complete: u64,
    /// streams that failed or had no tokens
    pub failed: u64,
    /// tokens received by complete streams
    pub tokens: u64,
}

impl Sample {
    /// an empty sample
    pub fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS);
        Self {
            first: histogram().expect("histogram bounds are valid constants"),
            gaps: histogram().expect("histogram bounds are valid constants"),
            complete: 0,
            failed: 0,
            tokens: 0,
        }
    }

    /// adds a complete stream
    pub fn add(&mut self, first: Duration, gaps: &[Duration]) {
        self.first.saturating_record(first.as_micros() as u64);
        for gap in gaps {
            self.gaps.saturating_record(gap.as_micros() as u64);
        }
        self.complete += 1;
        self.tokens += gaps.len() as u64 + 1;
    }

    /// adds another sample
    pub fn merge(&mut self, other: &Sample) {
        self.first
            .add(&other.first)
            .expect("both histograms have the same bounds");
        self.gaps
            .add(&other.gaps)
            .expect("both histograms have the same bounds");
        self.complete += other.complete;
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
