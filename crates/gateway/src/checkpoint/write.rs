use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{KIND, Level, NAME, Record};
use crate::adapter::{Dialect, ObjectError, Objects, Write};
use crate::duty::Lease;
use crate::peers::Peers;
use crate::shared::Shared;
use crate::usage::{self, Counts};

/// interval between two checkpoints: whatever is counted after the last one is lost if all
/// daemons terminate
const INTERVAL: Duration = Duration::from_secs(1);

/// usage windows in a checkpoint: the current one and those not yet reported
const MAX_WINDOWS: u64 = 3;

/// writes checkpoints while this daemon holds the lease, for as long as the process runs
pub async fn write_checkpoints<D: Dialect, S: Objects>(
    shared: Rc<Shared<D>>,
    store: Rc<S>,
    duty: (Rc<Lease>, Rc<Peers>),
) {
    let (lease, peers) = duty;
    let mut written_engines = BTreeMap::new();
    loop {
        tokio::select! {
            () = sleep(INTERVAL) => {}
            () = shared.rollouts.checkpoint_due.notified() => {}
        }
        if lease.permit().is_none() {
            continue;
        }
        let record = record(&shared, &peers);
        let has_counts = !record.windows.values().all(Counts::is_empty);
        let has_rollouts = !record.rollouts.is_empty() || !record.stops.is_empty();
        // learned times alone are written when they change, as each write is billed
        let has_new_engines = !record.engines.keys().eq(written_engines.keys());
        let is_empty = record.limits.is_empty() && record.marks.is_empty();
        if is_empty && !has_counts && !has_rollouts && !has_new_engines {
            continue;
        }
        let spec = match serde_json::to_value(&record) {
            Ok(spec) => spec,
            Err(error) => {
                tracing::error!(event = "checkpoint_unwritable", %error);
                continue;
            }
        };
        match write(&*store, &spec).await {
            Ok(()) => written_engines = record.engines,
            Err(error) => {
                if let Some(left_out) = shared.permit_log("checkpoint_failed") {
                    tracing::warn!(event = "checkpoint_failed", cause = %error, left_out);
                }
            }
        }
    }
}

async fn write<S: Objects>(store: &S, spec: &serde_json::Value) -> Result<(), ObjectError> {
    match store.write(KIND, NAME, spec, Write::Overwrite).await {
        Err(ObjectError::Missing) => store.write(KIND, NAME, spec, Write::Create).await.map(drop),
        result => result.map(drop),
    }
}

/// the limits and usage of all daemons, as far as known to this one
fn record<D: Dialect>(shared: &Shared<D>, peers: &Peers) -> Record {
    let now = shared.wall_clock.now();
    let newest = usage::window(now, shared.settings.policy.usage_window);
    let mut record = Record {
        at_ms: shared.wall_clock.now_ms(),
        generation: shared.generation.current(),
        daemons: shared.daemons.get(),
        marks: shared.quarantine.parts.borrow().marks(),
        engines: shared
            .placement
            .borrow()
            .all_learned()
            .into_iter()
            .collect(),
        rollouts: shared.saved_rollouts(),
        stops: shared.stops_in_force(),
        ..Record::default()
    };
    for window in (newest + 1).saturating_sub(MAX_WINDOWS)..=newest {
        record.windows.insert(window, peers.counts(shared, window));
    }
    let now = Instant::now();
    for (workspace, quota) in shared.quotas.borrow_mut().iter_mut() {
        let level = Level {
            demand: quota.demand(now) + peers.demand(workspace),
            remaining: quota.level(),
        };
        record.limits.insert(workspace.clone(), level);
    }
    record
}
