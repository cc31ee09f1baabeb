use std::collections::HashMap;

use route::quota::{self, Quota};
use tokio::time::Instant;

use crate::adapter::Dialect;
use crate::model::{Config, Limit};
use crate::shared::Shared;

/// fraction of a limit's burst that a restarted daemon starts with if no checkpoint has the
/// limit: all daemons may have restarted at once after spending it
const UNRECORDED_FRACTION: f64 = 0.0;

/// replaces the limits by those of a newer configuration; a limit that is new here starts at the
/// level of the checkpoint
pub fn configure<D: Dialect>(shared: &Shared<D>, config: &Config) {
    let now = Instant::now();
    let mut limits: HashMap<&str, Limit> = HashMap::new();
    for workspace in config.keys.values() {
        if let Some(limit) = workspace.limit {
            limits.insert(&workspace.name, limit);
        }
    }
    let mut ledgers = shared.ledgers.borrow_mut();
    ledgers.retain(|name, _| limits.contains_key(name.as_str()));
    let mut quotas = shared.quotas.borrow_mut();
    quotas.retain(|name, _| limits.contains_key(name.as_str()));
    let share = 1.0 / shared.daemons.get() as f64;
    let restored = shared.restored.borrow();
    let wall_clock = shared.wall_clock.now();
    for (name, limit) in limits {
        let enforced = shared.settings.policy.quota.enforced_limit(&limit);
        match quotas.get_mut(name) {
            Some(quota) => quota.configure(enforced, now),
            None => {
                let record = restored.as_ref();
                let level = record.and_then(|record| record.remaining(name, &enforced, wall_clock));
                let level = level.unwrap_or_else(|| unrecorded_level(shared, &enforced));
                quotas.insert(name.to_owned(), Quota::new(enforced, level, share, now));
            }
        }
    }
}

/// initial level of a limit that is in no checkpoint
fn unrecorded_level<D: Dialect>(shared: &Shared<D>, limit: &quota::Limit) -> f64 {
    if shared.settings.is_first_start {
        limit.burst
    } else {
        limit.burst * UNRECORDED_FRACTION
    }
}
