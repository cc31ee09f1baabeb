//! Counts of the requests that began, by workspace and window of true time.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use macro_rules_attribute::apply;
use schema::message;

/// windows that are kept: reports are late after a few
const WINDOWS_KEPT: u64 = 6;

/// requests by workspace
pub type Counts = BTreeMap<String, u64>;

/// this daemon's counts of the latest windows
#[derive(Debug, Clone)]
pub struct Tally {
    length: Duration,
    windows: BTreeMap<u64, Counts>,
}

/// one daemon's counts as they are told to the one that reports
#[apply(message!)]
#[derive(Default)]
pub struct Told {
    /// counts by window
    pub windows: BTreeMap<u64, Counts>,
}

impl Tally {
    /// no counts, for windows of a length
    pub fn new(length: Duration) -> Tally {
        Tally {
            length,
            windows: BTreeMap::new(),
        }
    }

    /// counts a request that began now
    pub fn count(&mut self, workspace: &str, now: SystemTime) {
        let window = window(now, self.length);
        let counts = self.windows.entry(window).or_default();
        *counts.entry(workspace.to_owned()).or_default() += 1;
        let oldest = window.saturating_sub(WINDOWS_KEPT);
        self.windows.retain(|window, _| *window >= oldest);
    }

    /// the counts of all windows that are kept
    pub fn told(&self) -> Told {
        Told {
            windows: self.windows.clone(),
        }
    }
}

/// number of the window that a time is in, counted from the start of 1970
pub fn window(now: SystemTime, length: Duration) -> u64 {
    let since = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let length = length.as_millis().max(1);
    u64::try_from(since.as_millis() / length).unwrap_or(u64::MAX)
}

/// adds up the counts of a window over daemons
pub fn sum<'a>(told: impl IntoIterator<Item = &'a Told>, window: u64) -> Counts {
    let mut sum = Counts::new();
    for counts in told
        .into_iter()
        .filter_map(|told| told.windows.get(&window))
    {
        for (workspace, count) in counts {
            *sum.entry(workspace.clone()).or_default() += count;
        }
    }
    sum
}
