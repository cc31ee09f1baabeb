//! Discovery of the other daemons through the object API.

use std::time::Duration;

use jsonrpsee::RpcModule;
use peer::Node;
use rand::Rng;
use serde_json::{Value, json};
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::report::{Answer, Report, Update};
use crate::adapter::{Dialect, ObjectError, Objects, Write};
use crate::freshness::Freshness;
use crate::limits::{CHARGE_METHOD, Charge, REFUND_METHOD, Ruling};
use crate::relay::{Known, Relay, Reply};
use crate::shared::Shared;

/// kind of the entries with which daemons register themselves
const DAEMON_KIND: &str = "daemons";

/// kind and name of the object with the keys with which daemons authenticate to each other
const KEYS: (&str, &str) = ("fleet", "keys");

/// method for periodic reports
pub(super) const REPORT_METHOD: &str = "gateway_tell";

/// method for changes that a peer has to receive at once
pub(super) const UPDATE_METHOD: &str = "gateway_news";

/// method by which a daemon follows another one's view of the store
pub(super) const FOLLOW_METHOD: &str = "gateway_follow";

/// a message from a peer
#[derive(Debug)]
pub(super) enum Message {
    Report(Box<Report>, oneshot::Sender<Option<Box<Report>>>),
    Update(Update),
    Charge(Charge, oneshot::Sender<Ruling>),
    Refund(Charge),
}

/// pause before joining is tried again, before jitter
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// reads the other daemons from the object API and joins them; returns this daemon's node and
/// the number of registered daemons
pub(super) async fn join<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    sender: Sender<Message>,
) -> (Node, usize) {
    let settings = &shared.settings;
    loop {
        let discovered = discover(shared, store).await;
        let (fleet_key, operator_key, seeds) = match discovered {
            Ok(discovered) => discovered,
            Err(error) => {
                tracing::debug!(event = "peers_not_found", cause = %error);
                sleep(RETRY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))).await;
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
        match Node::start(node, methods(shared, sender.clone())).await {
            Ok(node) => {
                tracing::info!(event = "peers_joined", seeds = seeds.len());
                return (node, seeds.len() + 1);
            }
            Err(error) => {
                tracing::error!(event = "peers_not_joined", %error);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// RPC methods of this daemon; a report is answered with this daemon's freshness confirmation
fn methods<D: Dialect>(shared: &Shared<D>, sender: Sender<Message>) -> RpcModule<()> {
    let (freshness, clock): (Freshness, _) = (shared.freshness.clone(), shared.clock);
    let relay: Relay = shared.relay.clone();
    let mut module = RpcModule::new(());
    let added = module.register_async_method(FOLLOW_METHOD, move |params, _, _| {
        let relay = relay.clone();
        async move {
            let known: Known = params.one()?;
            Ok::<Reply, jsonrpsee::types::ErrorObjectOwned>(relay.answer(known).await)
        }
    });
    added.expect("the names are distinct");
    let charge_sender = sender.clone();
    let added = module.register_async_method(CHARGE_METHOD, move |params, _, _| {
        let sender = charge_sender.clone();
        async move {
            let charge: Charge = params.one()?;
            let (reply, ruling) = oneshot::channel();
            enqueue(&sender, Message::Charge(charge, reply));
            // without a ruling, the message was dropped and the asking daemon spends its share
            let ruling = ruling.await.unwrap_or(Ruling::NotOwner);
            Ok::<Ruling, jsonrpsee::types::ErrorObjectOwned>(ruling)
        }
    });
    added.expect("the names are distinct");
    let refund_sender = sender.clone();
    let added = module.register_method(REFUND_METHOD, move |params, (), _| {
        let charge: Charge = params.one()?;
        enqueue(&refund_sender, Message::Refund(charge));
        Ok::<(), jsonrpsee::types::ErrorObjectOwned>(())
    });
    added.expect("the names are distinct");
    let update_sender = sender.clone();
    let added = module.register_async_method(REPORT_METHOD, move |params, _, _| {
        let (sender, freshness) = (sender.clone(), freshness.clone());
        async move {
            let report: Report = params.one()?;
            let (reply, others) = oneshot::channel();
            enqueue(&sender, Message::Report(Box::new(report), reply));
            let answer = Answer {
                // none if the message was dropped
                others: others.await.unwrap_or_default(),
                confirmation: freshness.confirmation(clock),
            };
            Ok::<Answer, jsonrpsee::types::ErrorObjectOwned>(answer)
        }
    });
    added.expect("the names are distinct");
    let added = module.register_method(UPDATE_METHOD, move |params, (), _| {
        let update: Update = params.one()?;
        enqueue(&update_sender, Message::Update(update));
        Ok::<(), jsonrpsee::types::ErrorObjectOwned>(())
    });
    added.expect("the names are distinct");
    module
}

fn enqueue(sender: &Sender<Message>, message: Message) {
    if sender.try_send(message).is_err() {
        tracing::debug!(event = "peer_not_heard", cause = "message queue is full");
    }
}

/// registers this daemon; returns the keys and the addresses of the other registered daemons
async fn discover<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
) -> Result<(String, String, Vec<String>), ObjectError> {
    let (fleet_key, operator_key) = keys(store).await?;
    let local = shared.settings.peers.to_string();
    register(store, &shared.settings.name, &local).await?;
    let list = store.list(DAEMON_KIND).await?;
    let controls = list.objects.iter().filter_map(|object| {
        let control = object.spec.get("control")?.as_str()?;
        (control != local).then(|| control.to_owned())
    });
    Ok((fleet_key, operator_key, controls.collect()))
}

/// the keys that all daemons share; the first daemon generates them
async fn keys<S: Objects>(store: &S) -> Result<(String, String), ObjectError> {
    let random = || format!("{:032x}", rand::rng().random::<u128>());
    let generated = json!({ "fleet": random(), "operator": random() });
    match store.get(KEYS.0, KEYS.1).await {
        Ok(object) => read_keys(&object.spec),
        Err(ObjectError::Missing) => {
            match store.write(KEYS.0, KEYS.1, &generated, Write::Create).await {
                Ok(_) => read_keys(&generated),
                Err(ObjectError::Conflict) => read_keys(&store.get(KEYS.0, KEYS.1).await?.spec),
                Err(error) => Err(error),
            }
        }
        Err(error) => Err(error),
    }
}

fn read_keys(spec: &Value) -> Result<(String, String), ObjectError> {
    let read = |name: &str| spec.get(name).and_then(Value::as_str).map(str::to_owned);
    match (read("fleet"), read("operator")) {
        (Some(fleet), Some(operator)) => Ok((fleet, operator)),
        _ => Err(ObjectError::Unknown(
            "object fleet/keys lacks the fleet key or the operator key".to_owned(),
        )),
    }
}

async fn register<S: Objects>(store: &S, name: &str, control: &str) -> Result<(), ObjectError> {
    let spec = json!({ "control": control });
    match store.write(DAEMON_KIND, name, &spec, Write::Create).await {
        Ok(_) => Ok(()),
        Err(ObjectError::Conflict) => {
            store
                .write(DAEMON_KIND, name, &spec, Write::Overwrite)
                .await?;
            Ok(())
        }
        Err(error) => Err(error),
    }
}
