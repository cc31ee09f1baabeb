use std::time::Duration;

use route::origin::Batch;
use serde_json::Value;
use tokio::time::{Instant, sleep, timeout};

use super::KIND;
use crate::adapter::{Dialect, ObjectError, Objects};
use crate::peers::SINGLE_GROUP;
use crate::shared::Shared;

/// time limit of the first read, for which the daemon does not serve: twice the duration of a slow
/// call between regions
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// pause before a failed read is tried again
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// time after the start in which a failed read is tried again; callers do not come back later
const RETRY_TIME: Duration = Duration::from_secs(20);

/// reads the records of this daemon's group, unless the whole system starts for the first time
///
/// Returns once they are read, or the first read has failed and `retry` is to be called.
pub async fn restore<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S) -> bool {
    if shared.settings.is_first_start {
        return true;
    }
    match timeout(READ_TIMEOUT, read(shared, store)).await {
        Ok(Ok(())) => true,
        Ok(Err(error)) => {
            tracing::warn!(event = "streams_unread", cause = %error);
            false
        }
        Err(_) => {
            tracing::warn!(
                event = "streams_unread",
                cause = "no response from the object API within 300 ms"
            );
            false
        }
    }
}

/// tries again to read the records that [`restore`] has not read
pub async fn retry<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S) {
    let started = Instant::now();
    while started.elapsed() < RETRY_TIME {
        sleep(RETRY_PAUSE).await;
        match read(shared, store).await {
            Ok(()) => return,
            Err(error) => tracing::debug!(event = "streams_unread", cause = %error),
        }
    }
}

/// reads the objects that the group may have: its name depends on the number of daemons
async fn read<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S) -> Result<(), ObjectError> {
    let of_zone = store.get(KIND, &shared.settings.zone);
    let of_all = store.get(KIND, SINGLE_GROUP);
    let (of_zone, of_all) = tokio::join!(of_zone, of_all);
    for result in [of_zone, of_all] {
        match result {
            Ok(object) => merge(shared, object.spec),
            Err(ObjectError::Missing) => {}
            Err(error) => return Err(error),
        }
    }
    let records = shared.origins.table.borrow().len();
    tracing::info!(event = "streams_read", records);
    Ok(())
}

/// adds the records of an object
pub(super) fn merge<D: Dialect>(shared: &Shared<D>, spec: Value) {
    match serde_json::from_value::<Batch>(spec) {
        Ok(batch) => shared.merge_origins(&batch),
        Err(error) => tracing::error!(event = "streams_unreadable", %error),
    }
}
