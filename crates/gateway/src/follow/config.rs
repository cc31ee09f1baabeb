use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use serde_json::Value;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::AGE_CHECK_INTERVAL;
use super::backoff::Backoff;
use crate::adapter::{Dialect, ObjectError, Objects, Revision};
use crate::checkpoint;
use crate::origin;
use crate::relay::Encoded;
use crate::shared::Shared;

/// how a call to the store ended
enum End {
    /// its response was applied
    Applied,
    /// it was abandoned for a shorter one
    Abandoned,
    /// another daemon has a newer configuration
    Behind,
}

/// keeps the configuration current for as long as the process runs
pub async fn config<D: Dialect, S: Objects + 'static>(shared: Rc<Shared<D>>, store: Rc<S>) {
    tokio::join!(
        checkpoint::restore(&shared, &*store),
        origin::restore(&shared, &*store)
    );
    let reading = (Rc::clone(&shared), Rc::clone(&store));
    spawn_local(async move { origin::read_on_demand(&reading.0, &*reading.1).await });
    let mut backoff = Backoff::default();
    let mut must_list = false;
    loop {
        if !must_list {
            must_list = until_due(&shared).await;
        }
        let result = match position(&shared).filter(|_| !must_list) {
            Some(after) => watch(&shared, &*store, after).await,
            None => list(&shared, &*store).await.map(|()| End::Applied),
        };
        shared.observe_generation(&*store);
        must_list = match result {
            Ok(end) => {
                if backoff.is_failing() {
                    tracing::info!(event = "store_regained", what = "configuration");
                }
                backoff.reset();
                matches!(end, End::Behind)
            }
            Err(error) => {
                if !backoff.is_failing() {
                    let age_ms = shared.config_age().map(|age| age.as_millis() as u64);
                    tracing::warn!(event = "store_lost", what = "configuration", cause = %error, age_ms);
                }
                backoff.wait().await;
                true
            }
        };
    }
}

/// where a watch can continue; none if the store has been restored since
fn position<D: Dialect>(shared: &Shared<D>) -> Option<Revision> {
    let revision = shared.relay.config_revision();
    revision.filter(|revision| revision.generation == shared.generation.current())
}

/// returns when this daemon has to call the store; true if it is known to be behind
async fn until_due<D: Dialect>(shared: &Shared<D>) -> bool {
    loop {
        let age = shared.config_age();
        let is_due = |age| shared.store_role().needs_store(age, &shared.trust_bounds());
        if age.map_or_else(|| !shared.awaits_peers(), is_due) {
            return false;
        }
        tokio::select! {
            () = shared.config_behind.notified() => {
                log_behind(shared);
                return true;
            }
            () = sleep(AGE_CHECK_INTERVAL) => {}
        }
    }
}

async fn list<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S) -> Result<(), ObjectError> {
    let requested_at = shared.clock.now();
    let list = store.list(S::CONFIG_KIND).await?;
    if list.revision.generation < shared.generation.current() {
        return Err(ObjectError::Expired);
    }
    let object = list
        .objects
        .iter()
        .find(|object| object.name == S::CONFIG_NAME);
    if let Some(object) = object {
        apply(shared, store, &object.spec, list.revision.generation);
        shared.confirm_config(requested_at);
    }
    shared.relay.set_config_revision(list.revision);
    Ok(())
}

/// watches once
async fn watch<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    after: Revision,
) -> Result<End, ObjectError> {
    let requested_at = shared.clock.now();
    let age = shared.config_age().unwrap_or_default();
    let role = shared.store_role();
    let wait = role.watch_timeout(age, &shared.trust_bounds(), rand::rng().random());
    let watch = tokio::select! {
        watch = store.watch(S::CONFIG_KIND, after, wait) => watch?,
        () = shared.config_behind.notified() => {
            log_behind(shared);
            return Ok(End::Behind);
        }
        () = until_overdue(shared, wait) => {
            tracing::debug!(event = "config_unvouched", wait_ms = wait.as_millis() as u64);
            return Ok(End::Abandoned);
        }
    };
    for event in &watch.events {
        if event.object.name == S::CONFIG_NAME && !event.deleted {
            apply(shared, store, &event.object.spec, watch.revision.generation);
        }
    }
    shared.confirm_config(if watch.events.is_empty() {
        super::confirmed_until(requested_at, shared.clock.now(), wait)
    } else {
        requested_at
    });
    shared.relay.set_config_revision(watch.revision);
    Ok(End::Applied)
}

fn log_behind<D: Dialect>(shared: &Shared<D>) {
    tracing::info!(
        event = "config_behind",
        version = shared.config().map(|config| config.version),
    );
}

/// returns once the configuration's age requires a shorter watch than the running one
async fn until_overdue<D: Dialect>(shared: &Shared<D>, wait: Duration) {
    loop {
        let age = shared.config_age().unwrap_or_default();
        if !shared
            .store_role()
            .may_continue(wait, age, &shared.trust_bounds())
        {
            return;
        }
        sleep(AGE_CHECK_INTERVAL).await;
    }
}

/// applies a configuration that the store had in a generation, and passes it on
fn apply<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S, spec: &Value, generation: u64) {
    match Encoded::new(spec) {
        Ok(body) => apply_if_newer(shared, store, spec, generation, &body),
        Err(cause) => tracing::error!(event = "config_not_encoded", cause),
    }
}

/// applies a configuration if it is newer than the current one
///
/// A restored store may show an older one than it had accepted; the newer one is kept. One with
/// the same version replaces the current one only if it is from a later generation of the store,
/// where the operator may have written the version again with other content.
pub(super) fn apply_if_newer<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    spec: &Value,
    generation: u64,
    body: &Encoded,
) {
    let config = match store.config(spec) {
        Ok(config) => config,
        Err(cause) => {
            tracing::error!(event = "config_unreadable", cause);
            return;
        }
    };
    let current = shared.relay.config();
    let before = current.as_ref().map(|(version, ..)| *version);
    if let Some((version, read_in, current_body)) = &current {
        if (config.version, generation) <= (*version, *read_in) {
            if config.version < *version && generation > *read_in {
                tracing::warn!(
                    event = "config_kept",
                    version,
                    shown = config.version,
                    generation,
                    cause = "the restored store shows an older version"
                );
            }
            return;
        }
        if config.version == *version && body == current_body {
            shared.relay.set_config(*version, generation, body.clone());
            return;
        }
    }
    tracing::info!(
        event = "config_applied",
        version = config.version,
        before,
        services = config.services.len(),
        hosts = config.routes.len(),
        keys = config.keys.len(),
    );
    shared
        .relay
        .set_config(config.version, generation, body.clone());
    shared.configure(config);
}
