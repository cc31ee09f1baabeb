use std::rc::Rc;
use std::time::Duration;

use route::rollout::State;
use tokio::time::{sleep, timeout};

use super::entry::Entry;
use crate::adapter::{Dialect, Object, ObjectError, Objects};
use crate::duty::{self, Lease};
use crate::model::RolloutStatus;
use crate::shared::Shared;

/// pause after a failed write
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// writes the status of roll-outs while this daemon holds the lease, for as long as the process
/// runs
pub async fn write_statuses<D: Dialect, S: Objects>(
    shared: Rc<Shared<D>>,
    store: Rc<S>,
    lease: Rc<Lease>,
) {
    if shared.settings.rollout.is_none() {
        return;
    }
    loop {
        shared.rollouts.status_due.notified().await;
        for (entry, state) in shared.due_states() {
            let Some(permit) = lease.permit() else {
                break;
            };
            let writing = write(&shared, &*store, &entry, state, permit.fence);
            if !writing.await {
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// writes a state; false if it is not known to be written
async fn write<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    entry: &Entry,
    state: State,
    fence: u64,
) -> bool {
    let status = RolloutStatus {
        state,
        to: entry.content.to.clone(),
    };
    let encoded = store.encode_rollout_status(&status);
    let writing = store.write_status(S::ROLLOUT_KIND, &entry.name, &encoded, entry.revision);
    let result = match timeout(duty::CALL_TIMEOUT, writing).await {
        Ok(result) => result,
        Err(_) => Err(ObjectError::Unknown(format!(
            "no response within {} ms",
            duty::CALL_TIMEOUT.as_millis()
        ))),
    };
    shared.observe_generation(store);
    tracing::info!(
        event = "rollout_status",
        name = entry.name,
        to = status.to,
        ?state,
        before = ?entry.state(),
        revision = entry.revision.number,
        fence,
        fault = result.as_ref().err().map(ToString::to_string),
    );
    match result {
        Ok(revision) => {
            shared.insert_rollout(Entry {
                revision,
                status: Some(status),
                ..entry.clone()
            });
            shared.publish_rollouts();
            true
        }
        Err(_) => {
            // it may have been written, or the object is another one now
            read(shared, store, &entry.name).await;
            false
        }
    }
}

/// reads a request again
async fn read<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S, name: &str) {
    let reading = timeout(duty::CALL_TIMEOUT, store.get(S::ROLLOUT_KIND, name));
    match reading.await {
        Ok(Ok(object)) => {
            if let Some(entry) = shared.rollout_entry(store, &object) {
                shared.insert_rollout(entry);
            }
        }
        Ok(Err(ObjectError::Missing)) => shared.remove_rollout(name),
        Ok(Err(error)) => tracing::debug!(event = "rollout_unread", name, cause = %error),
        Err(_) => tracing::debug!(
            event = "rollout_unread",
            name,
            cause = "no response in time"
        ),
    }
    shared.publish_rollouts();
}

impl<D: Dialect> Shared<D> {
    /// the objects whose status has to be written, with the state to write
    fn due_states(&self) -> Vec<(Entry, State)> {
        let all = self.rollouts.active.borrow();
        let due = all.values().filter_map(|active| {
            let state = active.due_state()?;
            Some((active.entry.clone(), state))
        });
        due.collect()
    }

    /// decodes an object with a request; none if its content is invalid, which is logged once for each
    /// change
    pub(crate) fn rollout_entry<S: Objects>(&self, store: &S, object: &Object) -> Option<Entry> {
        let content = match store.rollout(&object.spec) {
            Ok(content) => content,
            Err(cause) => {
                let last = self.rollouts.unreadable.replace(Some(object.revision));
                if last != Some(object.revision) {
                    tracing::warn!(
                        event = "rollout_unreadable",
                        name = object.name,
                        revision = object.revision.number,
                        cause
                    );
                }
                return None;
            }
        };
        let status = store.rollout_status(&object.status);
        Some(Entry::new(&object.name, object.revision, content, status))
    }
}
