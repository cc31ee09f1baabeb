use std::time::Duration;

use tokio::time::timeout;

use super::{KIND, NAME, Record};
use crate::adapter::{Dialect, ObjectError, Objects};
use crate::quarantine;
use crate::shared::Shared;

/// time limit of the read, after which the daemon starts without a checkpoint: twice the
/// duration of a slow call between regions
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// restores the latest checkpoint, unless the whole system starts for the first time
pub async fn restore<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S) {
    if shared.settings.is_first_start {
        return;
    }
    let result = timeout(READ_TIMEOUT, store.get(KIND, NAME)).await;
    shared.observe_generation(store);
    let object = match result {
        Ok(Ok(object)) => object,
        Ok(Err(ObjectError::Missing)) => return,
        Ok(Err(error)) => {
            tracing::warn!(event = "checkpoint_unread", cause = %error);
            return;
        }
        Err(_) => {
            tracing::warn!(
                event = "checkpoint_unread",
                cause = "no response from the object API within 300 ms"
            );
            return;
        }
    };
    let mut record: Record = match serde_json::from_value(object.spec) {
        Ok(record) => record,
        Err(error) => {
            tracing::error!(event = "checkpoint_unreadable", %error);
            return;
        }
    };
    tracing::info!(
        event = "checkpoint_read",
        at_ms = record.at_ms,
        daemons = record.daemons,
        limits = record.limits.len(),
        windows = record.windows.len(),
        quarantined = record.marks.len(),
        engines = record.engines.len(),
    );
    if record.generation < object.revision.generation {
        // later spending was recorded in what the restored store has lost
        tracing::warn!(
            event = "checkpoint_outdated",
            generation = object.revision.generation,
            before = record.generation,
        );
        record.limits.clear();
    }
    quarantine::apply_marks(shared, &record.marks, false);
    shared.restore_rollouts(std::mem::take(&mut record.rollouts), &record.stops);
    shared.restore(record);
}
