use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::{Instant, sleep};

use super::{KIND, Level, NAME, Record};
use crate::adapter::{Dialect, ObjectError, Objects, Write};
use crate::duty::Holder;
use crate::peers::Peers;
use crate::shared::Shared;
use crate::usage::{self, Counts};

/// time between two records: what is counted between the last one and the end of all
/// daemons is lost
const PERIOD: Duration = Duration::from_secs(1);

/// windows of usage in a record: the current one and those that are not yet reported
const WINDOWS: u64 = 3;

/// writes records for as long as the process runs, while it holds the lease
pub async fn checkpoint<D: Dialect, S: Objects>(
    shared: Rc<Shared<D>>,
    store: Rc<S>,
    duty: (Rc<Holder>, Rc<Peers>),
) {
    let (holder, peers) = duty;
    loop {
        sleep(PERIOD).await;
        if holder.permit().is_none() {
            continue;
        }
        let record = record(&shared, &peers);
        if record.limits.is_empty() && record.windows.values().all(Counts::is_empty) {
            continue;
        }
        let spec = match serde_json::to_value(&record) {
            Ok(spec) => spec,
            Err(error) => {
                tracing::error!(event = "checkpoint_unwritable", %error);
                continue;
            }
        };
        if let Err(fault) = write(&*store, &spec).await
            && let Some(left_out) = shared.log("checkpoint_failed")
        {
            tracing::warn!(event = "checkpoint_failed", cause = %fault, left_out);
        }
    }
}

async fn write<S: Objects>(store: &S, spec: &serde_json::Value) -> Result<(), ObjectError> {
    match store.write(KIND, NAME, spec, Write::Overwrite).await {
        Err(ObjectError::Missing) => store.write(KIND, NAME, spec, Write::Create).await.map(drop),
        result => result.map(drop),
    }
}

/// what this daemon knows of all
fn record<D: Dialect>(shared: &Shared<D>, peers: &Peers) -> Record {
    let now = SystemTime::now();
    let since = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let newest = usage::window(now, shared.settings.promises.usage_window);
    let mut record = Record {
        at_ms: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
        daemons: shared.daemons.get(),
        ..Record::default()
    };
    for window in (newest + 1).saturating_sub(WINDOWS)..=newest {
        record.windows.insert(window, peers.counts(shared, window));
    }
    let now = Instant::now();
    for (workspace, quota) in shared.quotas.borrow_mut().iter_mut() {
        let level = Level {
            demand: quota.demand(now) + peers.demand(workspace),
            left: quota.level(),
        };
        record.limits.insert(workspace.clone(), level);
    }
    record
}
