use std::rc::Rc;
use std::time::Duration;

use route::trust::Role;
use tokio::time::sleep;

use super::AGE_CHECK_INTERVAL;
use super::backoff::Backoff;
use crate::adapter::{Dialect, ObjectError, Objects, Revision};
use crate::rollout::Entry;
use crate::shared::Shared;

/// length of a watcher's watch, which returns at once on a change; each call is billed
const WATCH_TIME: Duration = Duration::from_secs(10);

/// length of a watch by a daemon that its peers do not serve
const ISOLATED_WATCH_TIME: Duration = Duration::from_secs(2);

/// keeps the requests for roll-outs current for as long as the process runs, if the deployment uses
/// them
pub async fn rollouts<D: Dialect, S: Objects>(shared: Rc<Shared<D>>, store: Rc<S>) {
    if shared.settings.rollout.is_none() {
        return;
    }
    let mut backoff = Backoff::default();
    let mut must_list = false;
    loop {
        until_due(&shared).await;
        let result = match position(&shared).filter(|_| !must_list) {
            Some(after) => watch(&shared, &*store, after).await,
            None => list(&shared, &*store).await.map(|()| false),
        };
        shared.observe_generation(&*store);
        must_list = match result {
            Ok(must_list) => {
                if backoff.is_failing() {
                    tracing::info!(event = "store_regained", what = "roll-outs");
                }
                backoff.reset();
                must_list
            }
            Err(error) => {
                if !backoff.is_failing() {
                    tracing::warn!(event = "store_lost", what = "roll-outs", cause = %error);
                }
                backoff.wait().await;
                true
            }
        };
    }
}

/// where a watch can continue; none if the store has been restored since
fn position<D: Dialect>(shared: &Shared<D>) -> Option<Revision> {
    let revision = shared.relay.rollouts_revision();
    revision.filter(|revision| revision.generation == shared.generation.current())
}

/// returns when this daemon has to call the store
async fn until_due<D: Dialect>(shared: &Shared<D>) {
    loop {
        let role = shared.store_role();
        let vm_age = shared.relay.vm_age();
        let is_unserved = vm_age.is_some_and(|age| {
            // what its peers pass on has both
            role.needs_vms(age, shared.settings.policy.drain)
        });
        let is_unknown = shared.relay.rollouts_revision().is_none() && !shared.awaits_peers();
        if role == Role::Watcher || is_unserved || is_unknown {
            return;
        }
        sleep(AGE_CHECK_INTERVAL).await;
    }
}

async fn list<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S) -> Result<(), ObjectError> {
    let list = store.list(S::ROLLOUT_KIND).await?;
    if list.revision.generation < shared.generation.current() {
        return Err(ObjectError::Expired);
    }
    shared.observe_generation(store);
    if Some(list.revision) < shared.relay.rollouts_revision() {
        // a peer has sent a later state meanwhile
        return Ok(());
    }
    let objects = list.objects.iter();
    let entries: Vec<Entry> = objects
        .filter_map(|object| shared.rollout_entry(store, object))
        .collect();
    shared.relay.confirm_rollouts(list.revision);
    shared.set_rollouts(entries);
    Ok(())
}

/// watches once; true if the list has to be read again
async fn watch<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    after: Revision,
) -> Result<bool, ObjectError> {
    let wait = match shared.store_role() {
        Role::Watcher => WATCH_TIME,
        Role::Standby | Role::Follower => ISOLATED_WATCH_TIME,
    };
    let watch = tokio::select! {
        watch = store.watch(S::ROLLOUT_KIND, after, wait) => watch?,
        () = shared.rollouts.confirmation_wanted.notified() => return Ok(true),
        () = until_restored(shared, after) => return Err(ObjectError::Expired),
    };
    if Some(watch.revision) < shared.relay.rollouts_revision() {
        // a peer has sent a later state meanwhile
        return Ok(false);
    }
    for event in &watch.events {
        let object = &event.object;
        match shared
            .rollout_entry(store, object)
            .filter(|_| !event.deleted)
        {
            Some(entry) => shared.insert_rollout(entry),
            None => shared.remove_rollout(&object.name),
        }
    }
    shared.relay.confirm_rollouts(watch.revision);
    if !watch.events.is_empty() {
        shared.publish_rollouts();
    }
    Ok(false)
}

/// returns when the store is known to have been restored since a revision: it may hold the watch of a
/// history that has ended until the wait is over
async fn until_restored<D: Dialect>(shared: &Shared<D>, after: Revision) {
    while after.generation >= shared.generation.current() {
        sleep(AGE_CHECK_INTERVAL).await;
    }
}
