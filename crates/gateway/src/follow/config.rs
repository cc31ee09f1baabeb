use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::{Instant, sleep};

use super::pace::Pace;
use crate::adapter::{Dialect, ObjectError, Objects};
use crate::checkpoint::recall;
use crate::shared::Shared;

/// time between two looks at the age of the configuration: a part of what it may differ by
const LOOK: Duration = Duration::from_millis(200);

/// why a watch is followed by a list
enum End {
    Failed(ObjectError),
    /// another daemon has a newer configuration
    Behind,
}

/// follows the configuration for as long as the process runs
pub async fn config<D: Dialect, S: Objects>(shared: Rc<Shared<D>>, store: Rc<S>) {
    recall(&shared, &*store).await;
    let mut pace = Pace::default();
    loop {
        let end = match list(&shared, &*store).await {
            Ok(revision) => {
                if pace.is_failing() {
                    tracing::info!(event = "store_regained", what = "configuration");
                }
                pace.succeeded();
                watch(&shared, &*store, revision).await
            }
            Err(fault) => End::Failed(fault),
        };
        if let End::Failed(failed) = &end
            && !pace.is_failing()
        {
            let age_ms = shared.config_age().map(|age| age.as_millis() as u64);
            tracing::warn!(event = "store_lost", what = "configuration", cause = %failed, age_ms);
        }
        pace.wait().await;
    }
}

async fn list<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S) -> Result<u64, ObjectError> {
    let asked = shared.clock.now();
    let list = store.list(S::CONFIG_KIND).await?;
    let object = list
        .objects
        .iter()
        .find(|object| object.name == S::CONFIG_NAME);
    if let Some(object) = object {
        take(shared, store, &object.spec);
        shared.agree(asked);
    }
    Ok(list.revision)
}

/// watches until a call fails, or another daemon has a newer configuration
async fn watch<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S, revision: u64) -> End {
    let mut revision = revision;
    loop {
        let asked = shared.clock.now();
        let role = shared.role.get();
        let age = shared.config_age().unwrap_or_default();
        let wait = role.watch_timeout(age, &shared.trust_bounds(), rand::rng().random());
        let watch = tokio::select! {
            watch = store.watch(S::CONFIG_KIND, revision, wait) => match watch {
                Ok(watch) => watch,
                Err(fault) => return End::Failed(fault),
            },
            () = shared.config_behind.notified() => {
                tracing::info!(
                    event = "config_behind",
                    version = shared.config().map(|config| config.version),
                );
                return End::Behind;
            }
            () = aged(shared, wait) => {
                tracing::debug!(event = "config_unvouched", wait_ms = wait.as_millis() as u64);
                continue;
            }
        };
        for event in &watch.events {
            if event.object.name == S::CONFIG_NAME && !event.deleted {
                take(shared, store, &event.object.spec);
            }
        }
        shared.agree(if watch.events.is_empty() {
            waited_until(asked, shared.clock.now(), wait)
        } else {
            asked
        });
        revision = revision.max(watch.revision);
    }
}

/// until a watch that may wait so long is not to go on
async fn aged<D: Dialect>(shared: &Shared<D>, wait: Duration) {
    loop {
        let age = shared.config_age().unwrap_or_default();
        if !shared
            .role
            .get()
            .may_continue(wait, age, &shared.trust_bounds())
        {
            return;
        }
        sleep(LOOK).await;
    }
}

/// until when a watch without events shows that there was none: the store ends it when
/// its time is up, so an answer that came later was held up on its way
fn waited_until(asked: Instant, answered: Instant, wait: Duration) -> Instant {
    if answered >= asked + wait {
        asked + wait
    } else {
        asked
    }
}

/// takes in a configuration if it is newer than the one in force
fn take<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S, spec: &serde_json::Value) {
    let config = match store.config(spec) {
        Ok(config) => config,
        Err(cause) => {
            tracing::error!(event = "config_unreadable", cause);
            return;
        }
    };
    let known = shared.config().map(|config| config.version);
    if known.is_some_and(|known| config.version <= known) {
        return;
    }
    tracing::info!(
        event = "config_applied",
        version = config.version,
        before = known,
        services = config.services.len(),
        hosts = config.routes.len(),
        keys = config.keys.len(),
    );
    shared.configure(config);
}
