use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use peer::Node;
use rand::Rng;
use route::placement::Rate;
use route::trust::Role;
use schema::member::Member;
use tokio::sync::mpsc::{Receiver, channel};
use tokio::time::{Instant, sleep, sleep_until};

use super::book::Book;
use super::join::{Heard, NEWS, TELL, join};
use super::plan::{Peer, Plan};
use super::tell::{News, Scope, Spending, Tell};
use crate::adapter::{Dialect, Objects};
use crate::follow;
use crate::shared::Shared;
use crate::usage::{Counts, Told};
use crate::vouch::Word;

/// time in which each peer is told once, while there are few
const ROUND: Duration = Duration::from_millis(500);

/// most messages per second of one daemon: a zone of 49 is told in 4 s, which takes about
/// 5 KB a second
const TELLS_PER_SECOND: f64 = 12.0;

/// time between two exchanges of sums between zones
const FAR_ROUND: Duration = Duration::from_millis(1200);

/// time in which what has to be heard at once is gathered: changes of VMs come in groups
const NEWS_PAUSE: Duration = Duration::from_millis(10);

/// time limit of a message
const TELL_TIME: Duration = Duration::from_millis(500);

/// windows of usage in a message now and then: the current one and those not yet reported
const WINDOWS_TOLD: usize = 3;

/// time between two messages with all windows, the others having the current one: a window
/// is reported some seconds after its end
const WINDOWS_EVERY: Duration = Duration::from_millis(900);

/// messages that wait to be taken in
const INBOX: usize = 256;

/// what is known of the other daemons, for the tasks of one thread
pub struct Peers {
    book: RefCell<Book>,
    node: RefCell<Option<Node>>,
}

impl Peers {
    /// a daemon that knows of no other
    pub fn new(name: &str, zone: &str) -> Rc<Peers> {
        let me = Peer {
            name: name.to_owned(),
            zone: zone.to_owned(),
        };
        Rc::new(Peers {
            book: RefCell::new(Book::new(me)),
            node: RefCell::default(),
        })
    }

    /// requests of a window by workspace, over all daemons
    pub fn counts<D: Dialect>(&self, shared: &Shared<D>, window: u64) -> Counts {
        let mut sum = self.book.borrow().counts(window);
        let own = shared.tally.borrow().told();
        for (workspace, count) in own.windows.get(&window).into_iter().flatten() {
            *sum.entry(workspace.clone()).or_default() += count;
        }
        if let Some(record) = &*shared.recalled.borrow() {
            record.raise(window, &mut sum);
        }
        sum
    }

    /// units per second that callers ask of the other daemons for a workspace
    pub fn demand(&self, workspace: &str) -> f64 {
        self.book.borrow().demand(workspace, Instant::now())
    }

    /// bytes sent to other daemons and received from them
    pub fn traffic(&self) -> (u64, u64) {
        let node = self.node.borrow();
        node.as_ref().map_or((0, 0), |node| {
            let traffic = node.traffic();
            (traffic.sent_bytes, traffic.received_bytes)
        })
    }

    /// number of daemons, this one included
    pub fn daemons(&self) -> usize {
        self.book.borrow().plan().daemons()
    }

    /// how many daemons come before this one in an order that all know
    pub fn rank(&self) -> usize {
        self.book.borrow().plan().rank()
    }

    /// work per second that callers bring to a service, over all daemons
    pub fn rate<D: Dialect>(&self, shared: &Shared<D>, service: &str) -> Rate {
        let now = Instant::now();
        let mut sum = shared.board.borrow_mut().rate(service, now);
        sum.add(&self.book.borrow().rate(service, now));
        sum
    }

    fn hear<D: Dialect>(&self, shared: &Shared<D>, tell: Tell) {
        let now = Instant::now();
        let mut book = self.book.borrow_mut();
        let mut board = shared.board.borrow_mut();
        for part in book.hear(tell, now) {
            board.set_peer_loads(&part.from, part.loads.clone(), now);
            board.add_peer_prefills(&part.reads, now);
        }
    }

    /// divides the limits by what all daemons spent and ask for
    fn divide<D: Dialect>(&self, shared: &Shared<D>, passed: Duration) {
        let now = Instant::now();
        let mut book = self.book.borrow_mut();
        shared.set_daemons(book.daemons(now));
        for (workspace, quota) in shared.quotas.borrow_mut().iter_mut() {
            quota.apply_peers(&book.others(workspace, passed, now), now);
        }
    }
}

/// joins the other daemons and exchanges with them for as long as the process runs
pub async fn peers<D: Dialect, S: Objects>(shared: Rc<Shared<D>>, store: Rc<S>, peers: Rc<Peers>) {
    let (sender, inbox) = channel(INBOX);
    let (node, registered) = join(&shared, &*store, sender).await;
    peers
        .book
        .borrow_mut()
        .set_registered(registered, Instant::now());
    *peers.node.borrow_mut() = Some(node.clone());
    let teller = Teller {
        shared: Rc::clone(&shared),
        peers: Rc::clone(&peers),
        node,
        instance: rand::rng().random::<u32>().into(),
        start: Instant::now(),
    };
    let hearing = hear(&shared, &peers, inbox);
    tokio::join!(hearing, teller.run(), teller.run_news());
}

/// takes in what others tell
async fn hear<D: Dialect>(shared: &Shared<D>, peers: &Peers, mut inbox: Receiver<Heard>) {
    while let Some(heard) = inbox.recv().await {
        match heard {
            Heard::Tell(tell) => peers.hear(shared, *tell),
            Heard::News(news) => follow::hear(shared, news.vms),
        }
    }
}

/// tells the others in turn
struct Teller<D: Dialect> {
    shared: Rc<Shared<D>>,
    peers: Rc<Peers>,
    node: Node,
    instance: u64,
    start: Instant,
}

impl<D: Dialect> Teller<D> {
    async fn run(&self) {
        let mut next = Instant::now();
        let mut divided = next;
        let mut far_next = next;
        let mut whole_next = next;
        loop {
            let members = self.node.members();
            let plan = self.plan(&members);
            let least = plan.near().len() as f64 / TELLS_PER_SECOND;
            let round = ROUND.max(Duration::from_secs_f64(least));
            let jitter = rand::rng().random_range(0.9..1.1);
            next = (next + round.mul_f64(jitter)).max(Instant::now());
            let now = Instant::now();
            let is_far = plan.passes_on() && now >= far_next;
            // sums of a zone need this daemon's own part of every window
            let is_whole = is_far || now >= whole_next;
            if is_whole {
                whole_next = now + WINDOWS_EVERY;
            }
            let mut own = self.message(is_whole, now);
            if is_far {
                far_next = now + FAR_ROUND;
                let (zone, elsewhere) = self.sums(&own, now);
                own.elsewhere = Some(Box::new(elsewhere));
                self.send(&members, plan.far(), &zone).await;
            }
            self.send(&members, plan.near(), &own).await;
            let now = Instant::now();
            self.peers.divide(&self.shared, now - divided);
            divided = now;
            sleep_until(next).await;
        }
    }

    /// tells what others have to hear at once
    async fn run_news(&self) {
        loop {
            self.shared.news_ready.notified().await;
            sleep(NEWS_PAUSE).await;
            let vms = std::mem::take(&mut *self.shared.vm_news.borrow_mut());
            let near = self.peers.book.borrow().plan().near().to_vec();
            let news = News { vms };
            let members = self.node.members();
            for member in members.iter().filter(|member| near.contains(&member.vm)) {
                let (node, member, news) = (self.node.clone(), member.clone(), news.clone());
                tokio::spawn(async move {
                    let told = node.call::<News, ()>(&member, NEWS, &news, TELL_TIME).await;
                    if let Err(error) = told {
                        tracing::debug!(event = "peer_not_told", peer = member.vm, %error);
                    }
                });
            }
        }
    }

    /// follows who is there
    fn plan(&self, members: &[Member]) -> Plan {
        let peer = |member: &Member| Peer {
            name: member.vm.clone(),
            zone: member.data_centre.clone(),
        };
        let all: Vec<Peer> = members.iter().map(peer).collect();
        let plan = Plan::new(peer(self.node.me()), &all);
        let role = if plan.is_watcher() {
            Role::Watcher
        } else {
            Role::Follower
        };
        if self.shared.role.replace(role) != role {
            tracing::info!(event = "store_role", ?role, daemons = plan.daemons());
        }
        self.shared.tells_vms.set(plan.tells_vms());
        self.peers.book.borrow_mut().set_plan(plan.clone());
        plan
    }

    /// the sums of this zone and of the others
    fn sums(&self, own: &Tell, now: Instant) -> (Tell, Tell) {
        let mut book = self.peers.book.borrow_mut();
        (book.zone(own, now), book.elsewhere(own, now))
    }

    async fn send(&self, members: &[Member], names: &[String], message: &Tell) {
        let mut calls = Vec::new();
        for member in members.iter().filter(|member| names.contains(&member.vm)) {
            let node = self.node.clone();
            let member = member.clone();
            let message = message.clone();
            let asked = self.shared.clock.now();
            let call = tokio::spawn(async move {
                let told = node.call::<Tell, Option<Word>>(&member, TELL, &message, TELL_TIME);
                match told.await {
                    Ok(word) => word,
                    Err(error) => {
                        tracing::debug!(event = "peer_not_told", peer = member.vm, %error);
                        None
                    }
                }
            });
            calls.push((asked, call));
        }
        for (asked, call) in calls {
            match call.await {
                Ok(Some(word)) => self.shared.believe(&word, asked),
                Ok(None) => {}
                // a panic in a call is a fault of the program
                Err(error) => tracing::error!(event = "peer_call_failed", %error),
            }
        }
    }

    /// what this daemon has to tell
    fn message(&self, is_whole: bool, now: Instant) -> Tell {
        let shared = &self.shared;
        let mut board = shared.board.borrow_mut();
        let loads = board.loads();
        let rates = board.rates(now);
        let reads = board.take_prefills();
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
        let windows = if is_whole { WINDOWS_TOLD } else { 1 };
        let latest = told.windows.into_iter().rev().take(windows);
        let windows: BTreeMap<u64, Counts> = latest.collect();
        Tell {
            from: shared.settings.name.clone(),
            zone: shared.settings.zone.clone(),
            scope: Scope::Daemon,
            instance: self.instance,
            age_ms: u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX),
            loads,
            spending,
            reads,
            rates,
            counts: Told { windows },
            elsewhere: None,
        }
    }
}
