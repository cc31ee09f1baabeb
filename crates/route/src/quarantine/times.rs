use std::collections::HashMap;

use super::evidence::Crash;

/// number of crashes that count as evidence
#[derive(Debug, Clone, Copy)]
pub(super) struct Threshold {
    /// crashes after which a part or request is quarantined
    crashes: usize,
    /// number of these that have to be apart: VMs that end at the same time have another cause, such as
    /// the loss of their hosts, but a request may end two VMs in a moment
    separate: usize,
}

impl Threshold {
    /// for a part: requests that only shared a VM with the cause are sent to two VMs, and once more by
    /// their callers
    pub const PART: Threshold = Threshold {
        crashes: 4,
        separate: 3,
    };

    /// for a whole request, whose quarantine concerns no other one
    pub const REQUEST: Threshold = Threshold {
        crashes: 3,
        separate: 2,
    };

    /// whether crashes at these ascending times are enough for a quarantine
    pub fn is_met(self, times: &[u64]) -> bool {
        times.len() >= self.crashes && separate(times) >= self.separate
    }

    /// whether one more crash after these may be enough for a quarantine
    pub fn is_near(self, times: &[u64]) -> bool {
        times.len() + 1 >= self.crashes && separate(times) + 1 >= self.separate
    }
}

/// time from one crash to the next from which they are apart; the daemons' times differ by less
pub(super) const MIN_GAP_MS: u64 = 50;

/// ascending times of the crashes by one of their causes
pub(super) fn crash_times<'a>(
    crashes: impl IntoIterator<Item = &'a Crash>,
    causes: impl Fn(&'a Crash) -> &'a [u64],
) -> HashMap<u64, Vec<u64>> {
    let mut times: HashMap<u64, Vec<u64>> = HashMap::new();
    for crash in crashes {
        for cause in causes(crash) {
            times.entry(*cause).or_default().push(crash.at_ms);
        }
    }
    for times in times.values_mut() {
        times.sort_unstable();
    }
    times
}

/// number of ascending times that are apart from the one before
fn separate(times: &[u64]) -> usize {
    let mut count = 0;
    let mut last = None;
    for at in times {
        if last.is_none_or(|last| *at >= last + MIN_GAP_MS) {
            count += 1;
            last = Some(*at);
        }
    }
    count
}
