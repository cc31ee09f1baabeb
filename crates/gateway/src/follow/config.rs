use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::{Instant, sleep};

use super::backoff::Backoff;
use crate::adapter::{Dialect, ObjectError, Objects};
use crate::checkpoint::restore;
use crate::shared::Shared;

/// interval between two checks of the configuration's age: a fraction of the tolerated age
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// why a watch ended and a list follows
enum End {
    Failed(ObjectError),
    /// another daemon has a newer configuration
    Behind,
}

/// keeps the configuration current for as long as the process runs
pub async fn config<D: Dialect, S: Objects>(shared: Rc<Shared<D>>, store: Rc<S>) {
    restore(&shared, &*store).await;
    let mut backoff = Backoff::default();
    loop {
        let end = match list(&shared, &*store).await {
            Ok(revision) => {
                if backoff.is_failing() {
                    tracing::info!(event = "store_regained", what = "configuration");
                }
                backoff.reset();
                watch(&shared, &*store, revision).await
            }
            Err(error) => End::Failed(error),
        };
        if let End::Failed(error) = &end
            && !backoff.is_failing()
        {
            let age_ms = shared.config_age().map(|age| age.as_millis() as u64);
            tracing::warn!(event = "store_lost", what = "configuration", cause = %error, age_ms);
        }
        backoff.wait().await;
    }
}

async fn list<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S) -> Result<u64, ObjectError> {
    let requested_at = shared.clock.now();
    let list = store.list(S::CONFIG_KIND).await?;
    let object = list
        .objects
        .iter()
        .find(|object| object.name == S::CONFIG_NAME);
    if let Some(object) = object {
        apply_if_newer(shared, store, &object.spec);
        shared.confirm_config(requested_at);
    }
    Ok(list.revision)
}

/// watches until a call fails, or another daemon has a newer configuration
async fn watch<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S, revision: u64) -> End {
    let mut revision = revision;
    loop {
        let requested_at = shared.clock.now();
        let role = shared.role.get();
        let age = shared.config_age().unwrap_or_default();
        let wait = role.watch_timeout(age, &shared.trust_bounds(), rand::rng().random());
        let watch = tokio::select! {
            watch = store.watch(S::CONFIG_KIND, revision, wait) => match watch {
                Ok(watch) => watch,
                Err(error) => return End::Failed(error),
            },
            () = shared.config_behind.notified() => {
                tracing::info!(
                    event = "config_behind",
                    version = shared.config().map(|config| config.version),
                );
                return End::Behind;
            }
            () = until_overdue(shared, wait) => {
                tracing::debug!(event = "config_unvouched", wait_ms = wait.as_millis() as u64);
                continue;
            }
        };
        for event in &watch.events {
            if event.object.name == S::CONFIG_NAME && !event.deleted {
                apply_if_newer(shared, store, &event.object.spec);
            }
        }
        shared.confirm_config(if watch.events.is_empty() {
            confirmed_until(requested_at, shared.clock.now(), wait)
        } else {
            requested_at
        });
        revision = revision.max(watch.revision);
    }
}

/// returns once the configuration's age requires a shorter watch than the running one
async fn until_overdue<D: Dialect>(shared: &Shared<D>, wait: Duration) {
    loop {
        let age = shared.config_age().unwrap_or_default();
        if !shared
            .role
            .get()
            .may_continue(wait, age, &shared.trust_bounds())
        {
            return;
        }
        sleep(AGE_CHECK_INTERVAL).await;
    }
}

/// time up to which a watch without events proves that there were none: the store ends it
/// after `wait`, so a response that arrives later was delayed on the way
fn confirmed_until(requested_at: Instant, responded_at: Instant, wait: Duration) -> Instant {
    if responded_at >= requested_at + wait {
        requested_at + wait
    } else {
        requested_at
    }
}

/// applies a configuration if it is newer than the current one
fn apply_if_newer<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S, spec: &serde_json::Value) {
    let config = match store.config(spec) {
        Ok(config) => config,
        Err(cause) => {
            tracing::error!(event = "config_unreadable", cause);
            return;
        }
    };
    let current = shared.config().map(|config| config.version);
    if current.is_some_and(|current| config.version <= current) {
        return;
    }
    tracing::info!(
        event = "config_applied",
        version = config.version,
        before = current,
        services = config.services.len(),
        hosts = config.routes.len(),
        keys = config.keys.len(),
    );
    shared.configure(config);
}
