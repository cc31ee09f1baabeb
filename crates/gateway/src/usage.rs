//! Counts of requests begun, by workspace and window of wall-clock time.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use macro_rules_attribute::apply;
use schema::message;

/// number of past windows that are kept: their reports are overdue after that
const MAX_WINDOWS: u64 = 6;

/// requests by workspace
pub type Counts = BTreeMap<String, u64>;

/// this daemon's counts of recent windows
#[derive(Debug, Clone)]
pub struct Tally {
    length: Duration,
    windows: BTreeMap<u64, Counts>,
}

/// one daemon's counts as sent to its peers, one of which reports the sum
#[apply(message!)]
#[derive(Default)]
pub struct Snapshot {
    /// counts by window
    pub windows: BTreeMap<u64, Counts>,
}

impl Tally {
    /// creates an empty tally for windows of a length
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
        let oldest = window.saturating_sub(MAX_WINDOWS);
        self.windows.retain(|window, _| *window >= oldest);
    }

    /// the counts of all kept windows
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            windows: self.windows.clone(),
        }
    }
}

/// number of the window that contains a time, counted from the Unix epoch
pub fn window(now: SystemTime, length: Duration) -> u64 {
    let since_epoch = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let length = length.as_millis().max(1);
    u64::try_from(since_epoch.as_millis() / length).unwrap_or(u64::MAX)
}

/// sum of the daemons' counts of a window
pub fn sum<'a>(daemons: impl IntoIterator<Item = &'a Snapshot>, window: u64) -> Counts {
    let mut sum = Counts::new();
    for counts in daemons
        .into_iter()
        .filter_map(|daemon| daemon.windows.get(&window))
    {
        for (workspace, count) in counts {
            let sum = sum.entry(workspace.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
    }
    sum
}
