//! Finding the other daemons in the object API.

use std::time::Duration;

use jsonrpsee::RpcModule;
use peer::Node;
use rand::Rng;
use serde_json::{Value, json};
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use super::tell::{News, Tell};
use crate::adapter::{Dialect, ObjectError, Objects, Write};
use crate::shared::Shared;
use crate::vouch::Vouched;
use crate::{Clock, Word};

/// kind of the entries by which daemons find each other
const DAEMONS: &str = "daemons";

/// kind and name of the object with the keys that daemons show each other
const KEYS: (&str, &str) = ("fleet", "keys");

/// method by which a daemon tells another in turn
pub(super) const TELL: &str = "gateway_tell";

/// method by which a daemon tells another what it has to hear at once
pub(super) const NEWS: &str = "gateway_news";

/// a message of another daemon
#[derive(Debug)]
pub(super) enum Heard {
    Tell(Box<Tell>),
    News(News),
}

/// pause before the object API is asked again
const PAUSE: Duration = Duration::from_millis(500);

/// finds the others in the object API and starts to talk to them; returns how many daemons
/// have registered as well
pub(super) async fn join<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    sender: Sender<Heard>,
) -> (Node, usize) {
    let settings = &shared.settings;
    loop {
        let found = find(shared, store).await;
        let (fleet_key, operator_key, seeds) = match found {
            Ok(found) => found,
            Err(fault) => {
                tracing::debug!(event = "peers_not_found", cause = %fault);
                sleep(PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))).await;
                continue;
            }
        };
        let node = peer::Settings::new(&settings.name, &settings.zone)
            .region(settings.region(&settings.zone))
            .control(&settings.peers.to_string())
            .callers(&settings.callers.to_string())
            .seeds(&seeds)
            .fleet_key(&fleet_key)
            .operator_key(&operator_key);
        match Node::start(
            node,
            methods(sender.clone(), shared.vouched.clone(), shared.clock),
        )
        .await
        {
            Ok(node) => {
                tracing::info!(event = "peers_joined", seeds = seeds.len());
                return (node, seeds.len() + 1);
            }
            Err(error) => {
                tracing::error!(event = "peers_not_joined", %error);
                sleep(PAUSE).await;
            }
        }
    }
}

/// a message is answered with this daemon's word on the configuration
fn methods(sender: Sender<Heard>, vouched: Vouched, clock: Clock) -> RpcModule<()> {
    let mut module = RpcModule::new(());
    let news_sender = sender.clone();
    let added = module.register_method(TELL, move |params, (), _| {
        let tell: Tell = params.one()?;
        take(&sender, Heard::Tell(Box::new(tell)));
        Ok::<Option<Word>, jsonrpsee::types::ErrorObjectOwned>(vouched.word(clock))
    });
    added.expect("the names are distinct");
    let added = module.register_method(NEWS, move |params, (), _| {
        let news: News = params.one()?;
        take(&news_sender, Heard::News(news));
        Ok::<(), jsonrpsee::types::ErrorObjectOwned>(())
    });
    added.expect("the names are distinct");
    module
}

fn take(sender: &Sender<Heard>, heard: Heard) {
    if sender.try_send(heard).is_err() {
        tracing::debug!(event = "peer_not_heard", cause = "the inbox is full");
    }
}

/// the keys, and the addresses of daemons that have registered
async fn find<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
) -> Result<(String, String, Vec<String>), ObjectError> {
    let (fleet_key, operator_key) = keys(store).await?;
    let own = shared.settings.peers.to_string();
    register(store, &shared.settings.name, &own).await?;
    let list = store.list(DAEMONS).await?;
    let controls = list.objects.iter().filter_map(|object| {
        let control = object.spec.get("control")?.as_str()?;
        (control != own).then(|| control.to_owned())
    });
    Ok((fleet_key, operator_key, controls.collect()))
}

/// the keys that all daemons share; the first daemon makes them
async fn keys<S: Objects>(store: &S) -> Result<(String, String), ObjectError> {
    let random = || format!("{:032x}", rand::rng().random::<u128>());
    let made = json!({ "fleet": random(), "operator": random() });
    match store.get(KEYS.0, KEYS.1).await {
        Ok(object) => read_keys(&object.spec),
        Err(ObjectError::Missing) => {
            match store.write(KEYS.0, KEYS.1, &made, Write::Create).await {
                Ok(_) => read_keys(&made),
                Err(ObjectError::Conflict) => read_keys(&store.get(KEYS.0, KEYS.1).await?.spec),
                Err(fault) => Err(fault),
            }
        }
        Err(fault) => Err(fault),
    }
}

fn read_keys(spec: &Value) -> Result<(String, String), ObjectError> {
    let read = |name: &str| spec.get(name).and_then(Value::as_str).map(str::to_owned);
    match (read("fleet"), read("operator")) {
        (Some(fleet), Some(operator)) => Ok((fleet, operator)),
        _ => Err(ObjectError::Unknown(
            "the daemons' keys can't be read".to_owned(),
        )),
    }
}

async fn register<S: Objects>(store: &S, name: &str, control: &str) -> Result<(), ObjectError> {
    let spec = json!({ "control": control });
    match store.write(DAEMONS, name, &spec, Write::Create).await {
        Ok(_) => Ok(()),
        Err(ObjectError::Conflict) => {
            store.write(DAEMONS, name, &spec, Write::Overwrite).await?;
            Ok(())
        }
        Err(fault) => Err(fault),
    }
}
