//! Fault injection.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::objects::Faults;

/// active faults
#[derive(Debug)]
pub(super) struct ActiveFaults {
    pub(super) outage: bool,
    pub(super) delay_ms: u64,
    pub(super) silent_watches: bool,
    lose_answers: u32,
    lose_percent: u8,
    stale_reads: u32,
    random: ChaCha8Rng,
}

impl ActiveFaults {
    /// no faults except a delay
    pub(super) fn new(delay_ms: u64) -> Self {
        ActiveFaults {
            outage: false,
            delay_ms,
            silent_watches: false,
            lose_answers: 0,
            lose_percent: 0,
            stale_reads: 0,
            random: ChaCha8Rng::seed_from_u64(0),
        }
    }

    /// replaces the faults whose fields are present
    pub(super) fn apply(&mut self, faults: &Faults) {
        self.outage = faults.outage.unwrap_or(self.outage);
        self.delay_ms = faults.delay_ms.unwrap_or(self.delay_ms);
        self.silent_watches = faults.silent_watches.unwrap_or(self.silent_watches);
        self.lose_answers = faults.lose_answers.unwrap_or(self.lose_answers);
        self.lose_percent = faults.lose_percent.unwrap_or(self.lose_percent);
        self.stale_reads = faults.stale_reads.unwrap_or(self.stale_reads);
        if let Some(seed) = faults.seed {
            self.random = ChaCha8Rng::seed_from_u64(seed);
        }
    }

    /// whether to lose the response to the current change; takes one from `lose_answers`
    pub(super) fn consume_lost_response(&mut self) -> bool {
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return true;
        }
        self.lose_percent > 0 && self.random.random_range(0..100) < self.lose_percent
    }

    /// whether to serve stale data to the current read; takes one from `stale_reads`
    pub(super) fn consume_stale_read(&mut self) -> bool {
        if self.stale_reads == 0 {
            return false;
        }
        self.stale_reads -= 1;
        true
    }
}
