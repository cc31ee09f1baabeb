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

/// shortest time between two reads: a daemon whose watchers are lost gets those streams again that they had
/// written
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// pause before a failed read is tried again
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// time after the start in which a failed read is tried again; callers do not come back later
const RETRY_TIME: Duration = Duration::from_secs(20);

/// reads the records of this daemon's group, unless the whole system starts for the first time
pub async fn restore<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S) {
    if shared.settings.is_first_start {
        return;
    }
    let error = match timeout(READ_TIMEOUT, read(shared, store)).await {
        Ok(Ok(())) => return,
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no response from the object API within 300 ms".to_owned(),
    };
    tracing::warn!(event = "streams_unread", cause = error);
    shared.origins.read_wanted.notify_one();
}

/// reads the records again when they are wanted, for as long as the process runs
pub async fn read_on_demand<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S) {
    let started = Instant::now();
    loop {
        shared.origins.read_wanted.notified().await;
        match read(shared, store).await {
            Ok(()) => {
                shared.origins.read_done.notify_waiters();
                sleep(MIN_INTERVAL).await;
            }
            Err(error) => {
                tracing::debug!(event = "streams_unread", cause = %error);
                sleep(RETRY_PAUSE).await;
                if started.elapsed() < RETRY_TIME {
                    shared.origins.read_wanted.notify_one();
                }
            }
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
    shared.origins.read_at.set(Some(Instant::now()));
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

/// waits for a read of the records that this daemon has not yet, if there is to be one
pub(super) async fn read_again<D: Dialect>(shared: &Shared<D>) {
    let read_at = shared.origins.read_at.get();
    if read_at.is_some_and(|at| at.elapsed() < MIN_INTERVAL) {
        return;
    }
    let done = shared.origins.read_done.notified();
    shared.origins.read_wanted.notify_one();
    // without a response in time, the stream stays unknown
    let _ = timeout(READ_TIMEOUT, done).await;
}
