use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use macro_rules_attribute::apply;
use route::placement::Timing;
use route::quarantine::Mark;
use route::quota;
use schema::message;

use crate::rollout::{Saved, Stop};
use crate::usage::Counts;

/// checkpoint age beyond which its limits are ignored: callers' demand does not stay the same
/// for longer
const MAX_LIMITS_AGE: Duration = Duration::from_secs(5);

/// level of a workspace's limit
///
/// Serialised as a pair of whole units.
#[apply(message!)]
#[derive(Copy, Default)]
#[serde(from = "(i64, u64)", into = "(i64, u64)")]
pub struct Level {
    /// remaining units, negative if overspent
    pub remaining: f64,
    /// units per second that callers requested
    pub demand: f64,
}

impl From<(i64, u64)> for Level {
    fn from((remaining, demand): (i64, u64)) -> Level {
        Level {
            remaining: remaining as f64,
            demand: demand as f64,
        }
    }
}

impl From<Level> for (i64, u64) {
    fn from(level: Level) -> (i64, u64) {
        (level.remaining.round() as i64, level.demand.round() as u64)
    }
}

/// limits and usage over all daemons at one time
#[apply(message!)]
#[derive(Default)]
pub struct Record {
    /// time of the record, milliseconds since the Unix epoch
    pub at_ms: u64,
    /// generation of the store that it was written for
    #[serde(default)]
    pub generation: u64,
    /// number of daemons
    pub daemons: usize,
    /// limits by workspace
    pub limits: BTreeMap<String, Level>,
    /// requests begun, by window and workspace
    pub windows: BTreeMap<u64, Counts>,
    /// quarantined parts of prompts
    #[serde(default)]
    pub marks: Vec<Mark>,
    /// learned times of engines by service
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub engines: BTreeMap<String, Timing>,
    /// roll-outs
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<Saved>,
    /// versions that get no requests
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<Stop>,
}

impl Record {
    /// remaining units of a workspace's limit now, extrapolated from the recorded demand; none
    /// if the record is too old or lacks the workspace
    pub fn remaining(&self, workspace: &str, limit: &quota::Limit, now: SystemTime) -> Option<f64> {
        let at = UNIX_EPOCH + Duration::from_millis(self.at_ms);
        let age = now.duration_since(at).ok()?;
        if age > MAX_LIMITS_AGE {
            return None;
        }
        let level = self.limits.get(workspace)?;
        let change = (limit.rate - level.demand) * age.as_secs_f64();
        Some((level.remaining + change).clamp(level.remaining.min(0.0), limit.burst))
    }

    /// raises the counts of a window to the recorded ones
    ///
    /// They are not added, since the counts of surviving daemons are in both.
    pub fn raise_counts(&self, window: u64, counts: &mut Counts) {
        for (workspace, recorded) in self.windows.get(&window).into_iter().flatten() {
            let count = counts.entry(workspace.clone()).or_default();
            *count = (*count).max(*recorded);
        }
    }
}
