use std::time::Duration;

use rand::Rng;
use route::trust::Role;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::adapter::{Dialect, ObjectError, Objects, Write};
use crate::shared::Shared;

/// kind of the entries with which daemons register themselves
pub(super) const DAEMON_KIND: &str = "daemons";

/// kind and name of the object with the keys with which daemons authenticate to each other
const KEYS: (&str, &str) = ("fleet", "keys");

/// longest time after a restore until this daemon has written its entries again, so that hundreds
/// of daemons do not write at once
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// pause after a failed write
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// the keys that all daemons share
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Keys {
    pub fleet: String,
    pub operator: String,
}

/// what this daemon and its peers wrote to find each other
#[derive(Debug, Clone)]
pub(super) struct Entries {
    pub name: String,
    /// its address for other daemons
    pub control: String,
    pub keys: Keys,
}

impl Keys {
    /// the stored keys; the first daemon generates them
    pub async fn read_or_create<S: Objects>(
        store: &S,
        may_create: bool,
    ) -> Result<Keys, ObjectError> {
        match store.get(KEYS.0, KEYS.1).await {
            Ok(object) => return Keys::read(&object.spec),
            Err(ObjectError::Missing) if may_create => {}
            Err(error) => return Err(error),
        }
        let random = || format!("{:032x}", rand::rng().random::<u128>());
        let generated = Keys {
            fleet: random(),
            operator: random(),
        };
        match generated.create(store).await {
            Ok(()) => Ok(generated),
            Err(ObjectError::Conflict) => Keys::read(&store.get(KEYS.0, KEYS.1).await?.spec),
            Err(error) => Err(error),
        }
    }

    fn read(spec: &Value) -> Result<Keys, ObjectError> {
        let read = |name: &str| spec.get(name).and_then(Value::as_str).map(str::to_owned);
        match (read("fleet"), read("operator")) {
            (Some(fleet), Some(operator)) => Ok(Keys { fleet, operator }),
            _ => Err(ObjectError::Unknown(
                "object fleet/keys lacks the fleet key or the operator key".to_owned(),
            )),
        }
    }

    async fn create<S: Objects>(&self, store: &S) -> Result<(), ObjectError> {
        let spec = json!({ "fleet": self.fleet, "operator": self.operator });
        store
            .write(KEYS.0, KEYS.1, &spec, Write::Create)
            .await
            .map(drop)
    }
}

impl Entries {
    /// writes this daemon's entry
    pub async fn register<S: Objects>(&self, store: &S) -> Result<(), ObjectError> {
        let spec = json!({ "control": self.control });
        let create = store.write(DAEMON_KIND, &self.name, &spec, Write::Create);
        match create.await {
            Err(ObjectError::Conflict) => {
                let overwrite = store.write(DAEMON_KIND, &self.name, &spec, Write::Overwrite);
                overwrite.await.map(drop)
            }
            other => other.map(drop),
        }
    }

    /// writes the entries again whenever the store has been restored from a copy that may lack
    /// them: the keys by one daemon of each group, else daemons that start then could not join
    pub async fn rewrite_after_restores<D: Dialect, S: Objects>(
        &self,
        shared: &Shared<D>,
        store: &S,
    ) {
        loop {
            shared.generation.restored().await;
            sleep(REWRITE_TIME.mul_f64(rand::rng().random::<f64>())).await;
            while let Err(error) = self.rewrite(shared.role.get(), store).await {
                tracing::debug!(event = "entries_not_rewritten", %error);
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn rewrite<S: Objects>(&self, role: Role, store: &S) -> Result<(), ObjectError> {
        if role == Role::Watcher {
            match self.keys.create(store).await {
                Ok(()) => tracing::info!(event = "keys_rewritten"),
                // the copy has them
                Err(ObjectError::Conflict) => {}
                Err(error) => return Err(error),
            }
        }
        self.register(store).await
    }
}
