//! Discovery of the other daemons through the object API.

use std::time::Duration;

use jsonrpsee::RpcModule;
use peer::Node;
use rand::Rng;
use route::origin::{Batch, Origin};
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use super::entries::{DAEMON_KIND, Entries, Keys};
use super::report::{Answer, Report, Update};
use crate::adapter::{Dialect, ObjectError, Objects};
use crate::freshness::Freshness;
use crate::limits::{CHARGE_METHOD, COPY_METHOD, Charge, LedgerCopy, REFUND_METHOD, Ruling};
use crate::origin::{ASK_METHOD, RECORDS_METHOD};
use crate::relay::{Known, Relay, Reply};
use crate::shared::Shared;

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
    Ledger(LedgerCopy),
    Records(Batch),
    Origin(u64, oneshot::Sender<Option<Origin>>),
}

/// time for which a daemon that starts waits for the peers to write the keys
const KEYS_TIME: Duration = Duration::from_secs(5);

/// share of the file descriptors available to connections of peers without a valid key so far
const PENDING_DESCRIPTOR_SHARE: f64 = 0.05;

/// fewest of these connections
const MIN_PENDING: usize = 32;

/// pause before joining is tried again, before jitter
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// most connections of peers without a valid key so far
fn max_pending(descriptors: usize) -> usize {
    let share = (descriptors as f64 * PENDING_DESCRIPTOR_SHARE) as usize;
    share.max(MIN_PENDING)
}

/// reads the other daemons from the object API and joins them; returns this daemon's node, the
/// number of registered daemons and what this one wrote
pub(super) async fn join<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    sender: Sender<Message>,
) -> (Node, usize, Entries) {
    let settings = &shared.settings;
    let started = Instant::now();
    loop {
        // after the first start, missing keys were lost in a restore, and a peer writes them again
        let may_create = settings.is_first_start || started.elapsed() > KEYS_TIME;
        let (entries, seeds) = match discover(shared, store, may_create).await {
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
            .fleet_key(&entries.keys.fleet)
            .operator_key(&entries.keys.operator)
            .max_pending(max_pending(settings.descriptors));
        match Node::start(node, methods(shared, sender.clone())).await {
            Ok(node) => {
                tracing::info!(event = "peers_joined", seeds = seeds.len());
                return (node, seeds.len() + 1, entries);
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
    let copy_sender = sender.clone();
    let added = module.register_method(COPY_METHOD, move |params, (), _| {
        let copy: LedgerCopy = params.one()?;
        enqueue(&copy_sender, Message::Ledger(copy));
        Ok::<(), jsonrpsee::types::ErrorObjectOwned>(())
    });
    added.expect("the names are distinct");
    let refund_sender = sender.clone();
    let added = module.register_method(REFUND_METHOD, move |params, (), _| {
        let charge: Charge = params.one()?;
        enqueue(&refund_sender, Message::Refund(charge));
        Ok::<(), jsonrpsee::types::ErrorObjectOwned>(())
    });
    added.expect("the names are distinct");
    add_origin_methods(&mut module, &sender);
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

/// adds the methods by which daemons exchange where streams began
fn add_origin_methods(module: &mut RpcModule<()>, sender: &Sender<Message>) {
    let records_sender = sender.clone();
    let added = module.register_method(RECORDS_METHOD, move |params, (), _| {
        let batch: Batch = params.one()?;
        enqueue(&records_sender, Message::Records(batch));
        Ok::<(), jsonrpsee::types::ErrorObjectOwned>(())
    });
    added.expect("the names are distinct");
    let ask_sender = sender.clone();
    let added = module.register_async_method(ASK_METHOD, move |params, _, _| {
        let sender = ask_sender.clone();
        async move {
            let id: u64 = params.one()?;
            let (reply, origin) = oneshot::channel();
            enqueue(&sender, Message::Origin(id, reply));
            // none if the message was dropped
            let origin = origin.await.unwrap_or_default();
            Ok::<Option<Origin>, jsonrpsee::types::ErrorObjectOwned>(origin)
        }
    });
    added.expect("the names are distinct");
}

fn enqueue(sender: &Sender<Message>, message: Message) {
    if sender.try_send(message).is_err() {
        tracing::debug!(event = "peer_not_heard", cause = "message queue is full");
    }
}

/// registers this daemon; returns what it wrote and the addresses of the other registered daemons
async fn discover<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    may_create: bool,
) -> Result<(Entries, Vec<String>), ObjectError> {
    let control = shared.settings.peers.to_string();
    let keys = Keys::read_or_create(store, may_create).await?;
    let entries = Entries {
        name: shared.settings.name.clone(),
        control,
        keys,
    };
    entries.register(store).await?;
    let list = store.list(DAEMON_KIND).await?;
    let controls = list.objects.iter().filter_map(|object| {
        let control = object.spec.get("control")?.as_str()?;
        (control != entries.control).then(|| control.to_owned())
    });
    let controls = controls.collect();
    Ok((entries, controls))
}
