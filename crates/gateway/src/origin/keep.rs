use std::time::Duration;

use route::trust::Role;
use tokio::time::{Instant, sleep_until};

use super::KIND;
use crate::adapter::{Dialect, ObjectError, Objects, Revision, Write};
use crate::shared::Shared;

/// interval between two writes: streams that began after the last one are refused after a kill of all
/// daemons, and streams last for seconds
const INTERVAL: Duration = Duration::from_millis(500);

/// writes the records of the group while this daemon is its watcher, for as long as the process runs
pub async fn write_records<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S) {
    let mut base = None;
    let mut written = 0;
    let mut next = Instant::now();
    loop {
        next = (next + INTERVAL).max(Instant::now());
        sleep_until(next).await;
        let Some(name) = shared
            .origins
            .group()
            .filter(|_| shared.store_role() == Role::Watcher)
        else {
            base = None;
            continue;
        };
        let changes = shared.origins.table.borrow().changes();
        if changes == written && base.is_some() {
            continue;
        }
        match write(shared, store, &name, base.as_ref()).await {
            Ok(revision) => {
                base = Some((name, revision));
                written = changes;
            }
            Err(error) => {
                base = None;
                if let Some(left_out) = shared.permit_log("streams_unwritten") {
                    tracing::warn!(event = "streams_unwritten", cause = %error, left_out);
                }
            }
        }
    }
}

/// writes all records; without a base, those of the object are read first, which an earlier watcher wrote
async fn write<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    name: &str,
    base: Option<&(String, Revision)>,
) -> Result<Revision, ObjectError> {
    if let Some((_, revision)) = base.filter(|(written, _)| written == name) {
        match put(shared, store, name, Write::Replace(*revision)).await {
            // another daemon has written, or the store was restored
            Err(ObjectError::Conflict | ObjectError::Missing) => {}
            result => return result,
        }
    }
    let mode = match store.get(KIND, name).await {
        Ok(object) => {
            super::restore::merge(shared, object.spec);
            Write::Replace(object.revision)
        }
        Err(ObjectError::Missing) => Write::Create,
        Err(error) => return Err(error),
    };
    put(shared, store, name, mode).await
}

async fn put<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    name: &str,
    mode: Write,
) -> Result<Revision, ObjectError> {
    let now_s = shared.wall_clock.now_ms() / 1000;
    let batch = shared.origins.table.borrow().all(now_s);
    let spec = serde_json::to_value(&batch)
        .map_err(|error| ObjectError::Unknown(format!("records can't be encoded: {error}")))?;
    store.write(KIND, name, &spec, mode).await
}
