//! What daemons tell each other: loads, demand and usage counts.
//!
//! Every daemon tells the others in turn what it has under way. What is told is a sum
//! since a start or a state, so that a lost or repeated message does no harm; only which
//! VM reads what is told once, as a hint. The message rate is constant: with more daemons each is told less often.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use jsonrpsee::RpcModule;
use macro_rules_attribute::apply;
use peer::Node;
use rand::Rng;
use route::place::{Load, Rate, Read};
use route::quota::Others;
use schema::member::Member;
use schema::message;
use serde_json::{Value, json};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Instant, sleep, sleep_until};
use xxhash_rust::xxh3::xxh3_64;

use crate::seam::{Dialect, Fault, Objects, Write};
use crate::shared::Shared;
use crate::usage::{self, Counts, Told};

/// kind of the entries by which daemons find each other
const DAEMONS: &str = "daemons";

/// kind and name of the object with the keys that daemons show each other
const KEYS: (&str, &str) = ("fleet", "keys");

/// method by which a daemon tells another
const TELL: &str = "gateway_tell";

/// time in which each peer is told once, while there are few
const ROUND: Duration = Duration::from_millis(700);

/// most messages per second: with 390 daemons of which 49 are told, each hears from
/// another every 4 s, which takes about 5 KB a second
const TELLS_PER_SECOND: f64 = 12.0;

/// time limit of a message
const TELL_TIME: Duration = Duration::from_millis(500);

/// time without a word after which a peer is taken to be gone
const LIVE: Duration = Duration::from_secs(3);

/// time for which what a silent peer asked for is still counted: a peer that is cut off
/// goes on spending its share
const DEMAND_AGE: Duration = Duration::from_secs(10);

/// age of a process up to which all that it spent is taken to be recent when it is heard
/// for the first time
const RECENT_MS: u64 = 5000;

/// time without a word after which a peer is taken to go on spending as it last asked
const SILENCE: Duration = Duration::from_secs(2);

/// time for which the counts of a silent peer are kept for reports
const COUNTS_AGE: Duration = Duration::from_secs(30);

/// windows of usage in a message
const WINDOWS_TOLD: usize = 3;

/// messages that wait to be taken in
const INBOX: usize = 256;

/// pause before the object API is asked again
const PAUSE: Duration = Duration::from_millis(500);

/// what one daemon tells another
#[apply(message!)]
#[derive(Default)]
struct Tell {
    /// the daemon's name
    from: String,
    /// what it has under way, by VM
    loads: HashMap<String, Load>,
    /// random number of the process, as sums begin anew with it
    instance: u64,
    /// time since the process started
    age_ms: u64,
    /// what its callers ask for and have spent, by workspace
    spending: HashMap<String, Spending>,
    /// which VMs have begun to read what for it; a hint that may be lost
    reads: Vec<Read>,
    /// work per second that its callers bring, by service
    rates: HashMap<String, Rate>,
    /// requests that began, by window and workspace
    counts: Told,
}

/// a workspace's spending at one daemon
#[apply(message!)]
#[derive(Copy, Default)]
struct Spending {
    /// units per second that its callers ask for
    demand: f64,
    /// units spent since the daemon's start
    spent: f64,
}

/// a message and when it came
struct Heard {
    at: Instant,
    tell: Tell,
}

/// what is known of the other daemons
#[derive(Default)]
pub struct Peers {
    heard: RefCell<HashMap<String, Heard>>,
    /// units that others spent and that are not divided yet, by workspace
    spent: RefCell<HashMap<String, f64>>,
}

impl Peers {
    /// nothing known yet
    pub fn new() -> Rc<Peers> {
        Rc::default()
    }

    /// requests of a window by workspace, over all daemons
    pub fn counts<D: Dialect>(&self, shared: &Shared<D>, window: u64) -> Counts {
        let own = shared.tally.borrow().told();
        let heard = self.heard.borrow();
        let told = heard.values().map(|heard| &heard.tell.counts);
        usage::sum(told.chain([&own]), window)
    }

    /// how many of the daemons that are heard of come before one in an order that all
    /// daemons know
    pub fn rank(&self, name: &str) -> usize {
        let now = Instant::now();
        let order = |name: &str| xxh3_64(name.as_bytes());
        let heard = self.heard.borrow();
        let live = heard.values().filter(|heard| now < heard.at + LIVE);
        live.filter(|heard| order(&heard.tell.from) < order(name))
            .count()
    }

    /// work per second that callers bring to a service, over all daemons
    pub fn rate<D: Dialect>(&self, shared: &Shared<D>, service: &str) -> Rate {
        let now = Instant::now();
        let mut sum = shared.board.borrow_mut().rate(service, now);
        for heard in self.heard.borrow().values() {
            if now < heard.at + DEMAND_AGE
                && let Some(rate) = heard.tell.rates.get(service)
            {
                sum.add(rate);
            }
        }
        sum
    }

    /// takes in what a peer tells
    fn hear<D: Dialect>(&self, shared: &Shared<D>, tell: Tell) {
        let now = Instant::now();
        let mut board = shared.board.borrow_mut();
        board.hear(&tell.from, tell.loads.clone(), now);
        board.learn(&tell.reads, now);
        drop(board);
        let mut heard = self.heard.borrow_mut();
        let before = heard.remove(&tell.from);
        let mut spent = self.spent.borrow_mut();
        for (workspace, spending) in &tell.spending {
            let more = match &before {
                None if tell.age_ms > RECENT_MS => continue,
                None => spending.spent,
                Some(before) if before.tell.instance != tell.instance => spending.spent,
                Some(before) => {
                    let known = before.tell.spending.get(workspace);
                    spending.spent - known.map_or(0.0, |known| known.spent)
                }
            };
            *spent.entry(workspace.clone()).or_default() += more.max(0.0);
        }
        let tell = match before {
            Some(before) => tell.keep_windows(before.tell),
            None => tell,
        };
        heard.insert(tell.from.clone(), Heard { at: now, tell });
        heard.retain(|_, heard| now < heard.at + COUNTS_AGE);
    }

    /// divides the limits by what all daemons spent and ask for
    fn divide<D: Dialect>(&self, shared: &Shared<D>, passed: Duration) {
        let now = Instant::now();
        let heard = self.heard.borrow();
        let current: Vec<&Heard> = heard
            .values()
            .filter(|heard| now < heard.at + DEMAND_AGE)
            .collect();
        let daemons = current.len() + 1;
        shared.daemons.set(daemons);
        let mut spent = self.spent.borrow_mut();
        for (workspace, quota) in shared.quotas.borrow_mut().iter_mut() {
            let mut others = Others {
                spent: spent.remove(workspace).unwrap_or_default(),
                demand: 0.0,
                daemons,
            };
            for heard in &current {
                let Some(spending) = heard.tell.spending.get(workspace) else {
                    continue;
                };
                others.demand += spending.demand;
                if now > heard.at + SILENCE {
                    others.spent += spending.demand * passed.as_secs_f64();
                }
            }
            quota.hear(&others, now);
        }
    }
}

impl Tell {
    /// keeps the windows that a former message had; a restart would lose them
    fn keep_windows(mut self, before: Tell) -> Tell {
        for (window, counts) in before.counts.windows {
            let kept = self.counts.windows.entry(window).or_default();
            for (workspace, count) in counts {
                let known = kept.entry(workspace).or_default();
                *known = (*known).max(count);
            }
        }
        while self.counts.windows.len() > WINDOWS_TOLD * 2 {
            self.counts.windows.pop_first();
        }
        self
    }
}

/// joins the other daemons and exchanges with them for as long as the process runs
pub async fn peers<D: Dialect, S: Objects>(shared: Rc<Shared<D>>, store: Rc<S>, peers: Rc<Peers>) {
    let (sender, inbox) = channel(INBOX);
    let node = join(&shared, &*store, sender).await;
    let hearing = hear(&shared, &peers, inbox);
    let telling = tell(&shared, &peers, &node);
    tokio::join!(hearing, telling);
}

/// takes in what others tell
async fn hear<D: Dialect>(shared: &Shared<D>, peers: &Peers, mut inbox: Receiver<Tell>) {
    while let Some(tell) = inbox.recv().await {
        peers.hear(shared, tell);
    }
}

/// tells the others in turn
async fn tell<D: Dialect>(shared: &Shared<D>, peers: &Peers, node: &Node) {
    let mut next = Instant::now();
    let start = next;
    let mut divided = next;
    let instance = rand::rng().random::<u32>().into();
    loop {
        let me = &node.me().vm;
        let members = node.members();
        let others: Vec<&Member> = members.iter().filter(|member| member.vm != *me).collect();
        let least = others.len() as f64 / TELLS_PER_SECOND;
        let round = ROUND.max(Duration::from_secs_f64(least));
        next = (next + round.mul_f64(rand::rng().random_range(0.9..1.1))).max(Instant::now());
        let age = start.elapsed();
        let message = message(shared, instance, age);
        let calls = others.iter().map(|member| {
            let node = node.clone();
            let member = (*member).clone();
            let message = message.clone();
            tokio::spawn(async move {
                let told = node.call::<Tell, ()>(&member, TELL, &message, TELL_TIME);
                if let Err(error) = told.await {
                    tracing::debug!(event = "peer_not_told", peer = member.vm, %error);
                }
            })
        });
        for call in calls.collect::<Vec<_>>() {
            // a panic in a call is a fault of the program and ends the process
            if call.await.is_err() {
                tracing::error!(event = "peer_call_panicked");
            }
        }
        let now = Instant::now();
        peers.divide(shared, now - divided);
        divided = now;
        sleep_until(next).await;
    }
}

fn message<D: Dialect>(shared: &Shared<D>, instance: u64, age: Duration) -> Tell {
    let now = Instant::now();
    let mut board = shared.board.borrow_mut();
    let loads = board.loads();
    let rates = board.rates(now);
    let reads = board.news();
    drop(board);
    let mut spending = HashMap::new();
    for (workspace, quota) in shared.quotas.borrow_mut().iter_mut() {
        let demand = quota.demand(now).round();
        let spent = quota.spent().round();
        if spent > 0.0 || demand > 0.0 {
            spending.insert(workspace.clone(), Spending { demand, spent });
        }
    }
    let told = shared.tally.borrow().told();
    let windows: BTreeMap<u64, Counts> =
        told.windows.into_iter().rev().take(WINDOWS_TOLD).collect();
    Tell {
        from: shared.settings.name.clone(),
        loads,
        instance,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        spending,
        reads,
        rates,
        counts: Told { windows },
    }
}

/// finds the others in the object API and starts to talk to them
async fn join<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S, sender: Sender<Tell>) -> Node {
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
        match Node::start(node, methods(sender.clone())).await {
            Ok(node) => {
                tracing::info!(event = "peers_joined", seeds = seeds.len());
                return node;
            }
            Err(error) => {
                tracing::error!(event = "peers_not_joined", %error);
                sleep(PAUSE).await;
            }
        }
    }
}

fn methods(sender: Sender<Tell>) -> RpcModule<()> {
    let mut module = RpcModule::new(());
    let added = module.register_method(TELL, move |params, (), _| {
        let tell: Tell = params.one()?;
        if sender.try_send(tell).is_err() {
            tracing::debug!(event = "peer_not_heard", cause = "the inbox is full");
        }
        Ok::<(), jsonrpsee::types::ErrorObjectOwned>(())
    });
    added.expect("the name is the only one");
    module
}

/// the keys, and the addresses of daemons that have registered
async fn find<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
) -> Result<(String, String, Vec<String>), Fault> {
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
async fn keys<S: Objects>(store: &S) -> Result<(String, String), Fault> {
    let random = || format!("{:032x}", rand::rng().random::<u128>());
    let made = json!({ "fleet": random(), "operator": random() });
    match store.get(KEYS.0, KEYS.1).await {
        Ok(object) => read_keys(&object.spec),
        Err(Fault::Missing) => match store.write(KEYS.0, KEYS.1, &made, Write::Create).await {
            Ok(_) => read_keys(&made),
            Err(Fault::Conflict) => read_keys(&store.get(KEYS.0, KEYS.1).await?.spec),
            Err(fault) => Err(fault),
        },
        Err(fault) => Err(fault),
    }
}

fn read_keys(spec: &Value) -> Result<(String, String), Fault> {
    let read = |name: &str| spec.get(name).and_then(Value::as_str).map(str::to_owned);
    match (read("fleet"), read("operator")) {
        (Some(fleet), Some(operator)) => Ok((fleet, operator)),
        _ => Err(Fault::Unknown("the daemons' keys can't be read".to_owned())),
    }
}

async fn register<S: Objects>(store: &S, name: &str, control: &str) -> Result<(), Fault> {
    let spec = json!({ "control": control });
    match store.write(DAEMONS, name, &spec, Write::Create).await {
        Ok(_) => Ok(()),
        Err(Fault::Conflict) => {
            store.write(DAEMONS, name, &spec, Write::Overwrite).await?;
            Ok(())
        }
        Err(fault) => Err(fault),
    }
}
