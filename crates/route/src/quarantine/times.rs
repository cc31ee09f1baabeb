use std::collections::HashMap;

use super::evidence::Crash;

/// crashes after which a part is quarantined: requests that only shared a VM with the cause are
/// sent to two VMs, and once more by their callers
const MIN_CRASHES: usize = 4;

/// number of these crashes that have to be apart: VMs that end at the same time have another cause,
/// such as the loss of their hosts, but a request may end two VMs in a moment
const MIN_SEPARATE_CRASHES: usize = 3;

/// time from one crash to the next from which they are apart; the daemons' times differ by less
const MIN_GAP_MS: u64 = 50;

/// ascending times of the crashes by part
pub(super) fn crash_times<'a>(
    crashes: impl IntoIterator<Item = &'a Crash>,
) -> HashMap<u64, Vec<u64>> {
    let mut times: HashMap<u64, Vec<u64>> = HashMap::new();
    for crash in crashes {
        for part in &crash.parts {
            times.entry(*part).or_default().push(crash.at_ms);
        }
    }
    for times in times.values_mut() {
        times.sort_unstable();
    }
    times
}

/// whether crashes at these ascending times are enough for a quarantine
pub(super) fn is_enough(times: &[u64]) -> bool {
    times.len() >= MIN_CRASHES && separate(times) >= MIN_SEPARATE_CRASHES
}

/// whether one more crash after these may be enough for a quarantine
pub(super) fn is_near(times: &[u64]) -> bool {
    times.len() + 1 >= MIN_CRASHES && separate(times) + 1 >= MIN_SEPARATE_CRASHES
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
