use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, TrySendError};
use schema::member::{Member, State};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior};

use crate::Notice;
use crate::gossip::{Answer, Call, Core, Message};
use crate::member::timing::TICK;
use crate::rpc::{CallError, Meter, Pool};

/// longest age of the list of members
const LIST_AGE: Duration = Duration::from_secs(1);
/// time between two clean-ups of connections
const PRUNE: Duration = Duration::from_secs(60);

/// what the clones of a node share
///
/// Order of the locks: `core`, then `list`; `subscribers` is taken alone.
pub(super) struct Inner {
    pub me: Member,
    pub runtime: Handle,
    pub pool: Pool,
    pub meter: Arc<Meter>,
    pub dropped: AtomicU64,
    pub stopping: watch::Sender<bool>,
    core: Mutex<Core>,
    list: RwLock<List>,
    subscribers: Mutex<Vec<Sender<Notice>>>,
}

/// the members as last seen
struct List {
    version: u64,
    at: Instant,
    all: Arc<[Member]>,
    local: Arc<[Member]>,
}

impl Inner {
    pub fn new(core: Core, pool: Pool, meter: Arc<Meter>) -> Inner {
        let me = core.own();
        let alone: Arc<[Member]> = Arc::new([me.clone()]);
        Inner {
            me,
            runtime: Handle::current(),
            pool,
            meter,
            dropped: AtomicU64::new(0),
            stopping: watch::Sender::new(false),
            list: RwLock::new(List {
                version: core.version(),
                at: Instant::now(),
                all: alone.clone(),
                local: alone,
            }),
            core: Mutex::new(core),
            subscribers: Mutex::new(Vec::new()),
        }
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// reads the core
    pub fn read<T>(&self, view: impl FnOnce(&Core, Instant) -> T) -> T {
        view(&self.core(), Instant::now())
    }

    /// changes the core and makes the calls that come of it
    pub fn change<T>(self: &Arc<Self>, edit: impl FnOnce(&mut Core, Instant) -> T) -> T {
        self.change_and_watch(edit).0
    }

    /// as [`Inner::change`], with the calls under way
    pub fn change_and_watch<T>(
        self: &Arc<Self>,
        edit: impl FnOnce(&mut Core, Instant) -> T,
    ) -> (T, Vec<JoinHandle<()>>) {
        let now = Instant::now();
        let mut core = self.core();
        let result = edit(&mut core, now);
        let calls = core.calls();
        let notices = core.notices();
        self.list_anew(&core, now);
        drop(core);
        self.notify(notices);
        let make = |call| self.runtime.spawn(self.clone().make(call));
        (result, calls.into_iter().map(make).collect())
    }

    fn list_anew(&self, core: &Core, now: Instant) {
        let mut list = self.list.write().unwrap_or_else(PoisonError::into_inner);
        let fresh = now.saturating_duration_since(list.at) < LIST_AGE;
        if fresh && list.version == core.version() {
            return;
        }
        let all: Arc<[Member]> = core.members(now).into();
        let local = all.iter().filter(|member| self.is_usable(member));
        *list = List {
            version: core.version(),
            at: now,
            local: local.cloned().collect(),
            all,
        };
    }

    fn is_usable(&self, member: &Member) -> bool {
        member.data_centre == self.me.data_centre
            && matches!(member.state, State::Live | State::Suspect)
    }

    pub fn all(&self) -> Arc<[Member]> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        list.all.clone()
    }

    pub fn local(&self) -> Arc<[Member]> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        list.local.clone()
    }

    pub fn subscribe(&self, sender: Sender<Notice>) {
        let subscribers = &self.subscribers;
        let mut subscribers = subscribers.lock().unwrap_or_else(PoisonError::into_inner);
        subscribers.push(sender);
    }

    fn notify(&self, notices: Vec<Notice>) {
        let subscribers = &self.subscribers;
        let mut subscribers = subscribers.lock().unwrap_or_else(PoisonError::into_inner);
        for notice in notices {
            subscribers.retain(|subscriber| match subscriber.try_send(notice.clone()) {
                Ok(()) => true,
                Err(TrySendError::Full(_)) => {
                    Meter::add(&self.dropped, 1);
                    true
                }
                Err(TrySendError::Disconnected(_)) => false,
            });
        }
    }

    async fn make(self: Arc<Self>, call: Call) {
        let Call {
            ticket,
            to,
            message,
            timeout,
        } = call;
        let result = self.send(&to.control, &message, timeout).await;
        if let Err(error) = &result {
            tracing::debug!(control = %to.control, %error, "call failed");
        }
        self.change(|core, now| core.answered(ticket, result.ok(), now));
    }

    async fn send(
        &self,
        control: &str,
        message: &Message,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let pool = &self.pool;
        match message {
            Message::Probe(probe) => {
                let ack = pool.call(control, super::methods::PROBE, probe, timeout);
                ack.await.map(Answer::Ack)
            }
            Message::Sync(digest) => {
                let difference = pool.call(control, super::methods::SYNC, digest, timeout);
                difference.await.map(Answer::Difference)
            }
            Message::Exchange(exchange) => {
                let answer = pool.call(control, super::methods::EXCHANGE, exchange, timeout);
                answer.await.map(Answer::Exchange)
            }
            Message::Check(check) => {
                let done = pool.call(control, super::methods::CHECK, check, timeout);
                done.await.map(|()| Answer::Done)
            }
            Message::Confirm(confirm) => {
                let done = pool.call(control, super::methods::CONFIRM, confirm, timeout);
                done.await.map(|()| Answer::Done)
            }
            Message::Push(push) => {
                let done = pool.call(control, super::methods::PUSH, push, timeout);
                done.await.map(|()| Answer::Done)
            }
            Message::Report(report) => {
                let done = pool.call(control, super::methods::REPORT, report, timeout);
                done.await.map(|()| Answer::Done)
            }
        }
    }

    /// does the periodic work until the node stops
    pub async fn run(self: Arc<Self>, broken: Receiver<String>) {
        let mut stopping = self.stopping.subscribe();
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut pruned = Instant::now();
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                _ = stopping.wait_for(|stop| *stop) => return,
            }
            self.change(|core, now| {
                core.tick(now);
                for control in broken.try_iter() {
                    core.disconnected(&control, now);
                }
            });
            if pruned.elapsed() >= PRUNE {
                pruned = Instant::now();
                self.pool.prune().await;
            }
        }
    }
}
