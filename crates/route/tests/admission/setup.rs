//! What is simulated, and what became of the callers.

use std::collections::BTreeMap;

use route::placement::Kind;

/// requests of one kind that callers of a workspace send
pub struct Source {
    pub workspace: &'static str,
    pub kind: Kind,
    pub timeout_ms: u64,
    pub tokens: u32,
    /// requests a second at a time, to the daemons of each zone
    pub per_second: fn(u64, usize) -> f64,
}

/// what is simulated
pub struct Setup {
    /// by zone; the first half of the zones is one region
    pub vms: Vec<usize>,
    pub daemons_per_zone: usize,
    pub slots: u32,
    pub tokens_per_ms: f64,
    /// time for which a request holds its slot after the first token
    pub decode_ms: f64,
    pub sources: Vec<Source>,
    /// VMs of a zone that are lost at a time
    pub losses: Vec<(u64, usize, usize)>,
    /// by how much reports are older than usual
    pub extra_age_ms: u64,
    /// daemons of a zone that stop reporting and serving at a time
    pub dead: Option<(u64, usize)>,
    pub duration_ms: u64,
    pub seed: u64,
}

/// what became of the callers of a group
#[derive(Debug, Clone, Copy, Default)]
pub struct Count {
    pub callers: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// refusals of callers that had come back
    pub refused_again: u32,
}

impl Count {
    pub fn add(&mut self, other: &Count) {
        self.callers += other.callers;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.refused_again += other.refused_again;
    }
}

/// by source and zone
pub type Counts = BTreeMap<(usize, usize), Count>;

/// the sum over a selection of sources and zones
pub fn sum(counts: &Counts, is_included: impl Fn(usize, usize) -> bool) -> Count {
    let mut sum = Count::default();
    for ((source, zone), count) in counts {
        if is_included(*source, *zone) {
            sum.add(count);
        }
    }
    sum
}
