//! Interpretation of loads that were reported a while ago.
//!
//! Load pattern: 74 daemons see the same loads of 100 engines, a second old, and 900 requests arrive in
//! that second. Each daemon sent to the engines that seemed least busy: one with 3 requests got 47
//! within 0.9 s, which waited for up to 2.4 s while others were idle.
//!
//! What all daemons send since the reports is known in total, not by VM. It is assumed to fill up the
//! VMs evenly, like water, from the reported loads on. A VM below the resulting level gets requests in
//! proportion to its distance from it, so that all are at the same level after that time if every daemon does
//! the same. With fresh reports, or few requests, only the least busy VMs are below the level; with old
//! ones, requests are spread nearly evenly. A VM whose load exceeds the level gets none. (Dahlin,
//! "Interpreting stale load information", 2000.)

use std::time::Duration;

/// room of a VM that has none below the level: it is chosen if there is no other
const LEAST_ROOM: Duration = Duration::from_millis(1);

/// the level to which requests fill up VMs
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Level(Duration);

impl Level {
    /// the level of VMs with the waits that were reported, after work has arrived that takes one VM
    /// `arriving`
    pub fn new(waits: impl Iterator<Item = Duration>, arriving: Duration) -> Level {
        let mut waits: Vec<Duration> = waits.collect();
        waits.sort_unstable();
        let mut level = Duration::ZERO;
        let mut unused = arriving;
        for (below, wait) in (0u32..).zip(waits.iter()) {
            let to_next = wait.saturating_sub(level);
            let needed = to_next * below;
            if needed > unused {
                break;
            }
            unused -= needed;
            level = *wait;
        }
        let below = waits.iter().filter(|wait| **wait <= level).count();
        let below = u32::try_from(below).unwrap_or(u32::MAX);
        Level(level + unused.checked_div(below).unwrap_or_default())
    }

    /// the part of a VM's wait that exceeds the level
    pub fn excess(&self, wait: Duration) -> Duration {
        wait.saturating_sub(self.0)
    }

    /// the work that a VM gets until it is at the level
    pub fn room(&self, wait: Duration) -> Duration {
        self.0.saturating_sub(wait).max(LEAST_ROOM)
    }
}
