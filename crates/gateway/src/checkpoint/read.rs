use std::time::Duration;

use tokio::time::timeout;

use super::{KIND, NAME, Record};
use crate::adapter::{Dialect, ObjectError, Objects};
use crate::shared::Shared;

/// longest wait for the last record before serving starts without it: twice a slow call
/// between regions
const READ_TIME: Duration = Duration::from_millis(300);

/// reads the last record, unless the whole system starts for the first time
pub async fn recall<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S) {
    if shared.settings.is_first_start {
        return;
    }
    let object = match timeout(READ_TIME, store.get(KIND, NAME)).await {
        Ok(Ok(object)) => object,
        Ok(Err(ObjectError::Missing)) => return,
        Ok(Err(fault)) => {
            tracing::warn!(event = "checkpoint_unread", cause = %fault);
            return;
        }
        Err(_) => {
            tracing::warn!(event = "checkpoint_unread", cause = "no answer in time");
            return;
        }
    };
    let record: Record = match serde_json::from_value(object.spec) {
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
    );
    shared.recall(record);
}
