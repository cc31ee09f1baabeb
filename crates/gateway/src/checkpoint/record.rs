use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use macro_rules_attribute::apply;
use route::quota;
use schema::message;

use crate::usage::Counts;

/// age beyond which a record says nothing about limits: callers do not go on asking as
/// they did for longer
const LIMITS_AGE: Duration = Duration::from_secs(5);

/// the state of a workspace's limit
///
/// Travels as whole units.
#[apply(message!)]
#[derive(Copy, Default)]
#[serde(from = "(i64, u64)", into = "(i64, u64)")]
pub struct Level {
    /// units left, below zero if too many were spent
    pub left: f64,
    /// units per second that callers asked for
    pub demand: f64,
}

impl From<(i64, u64)> for Level {
    fn from((left, demand): (i64, u64)) -> Level {
        Level {
            left: left as f64,
            demand: demand as f64,
        }
    }
}

impl From<Level> for (i64, u64) {
    fn from(level: Level) -> (i64, u64) {
        (level.left.round() as i64, level.demand.round() as u64)
    }
}

/// the state of limits and usage over all daemons at a time
#[apply(message!)]
#[derive(Default)]
pub struct Record {
    /// milliseconds since the start of 1970
    pub at_ms: u64,
    /// number of daemons
    pub daemons: usize,
    /// limits by workspace
    pub limits: BTreeMap<String, Level>,
    /// requests that began, by window and workspace
    pub windows: BTreeMap<u64, Counts>,
}

impl Record {
    /// units left of a workspace's limit, if its callers went on asking as they did
    pub fn left(&self, workspace: &str, terms: &quota::Limit, now: SystemTime) -> Option<f64> {
        let at = UNIX_EPOCH + Duration::from_millis(self.at_ms);
        let age = now.duration_since(at).ok()?;
        if age > LIMITS_AGE {
            return None;
        }
        let level = self.limits.get(workspace)?;
        let change = (terms.rate - level.demand) * age.as_secs_f64();
        Some((level.left + change).clamp(level.left.min(0.0), terms.burst))
    }

    /// raises the counts of a window to those known here
    ///
    /// Counts of daemons that live are in both and must not be added.
    pub fn raise(&self, window: u64, counts: &mut Counts) {
        for (workspace, known) in self.windows.get(&window).into_iter().flatten() {
            let count = counts.entry(workspace.clone()).or_default();
            *count = (*count).max(*known);
        }
    }
}
