use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, TrySendError};
use schema::member::{Member, State};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior};

use crate::Publication;
use crate::gossip::{Call, Core, Message, Response};
use crate::member::timing::TICK;
use crate::rpc::{CallError, Meter, Pool};

/// age from which on a change of the core refreshes the member lists in any case
const MAX_LIST_AGE: Duration = Duration::from_secs(1);
/// time between two removals of idle connections
const PRUNE_PERIOD: Duration = Duration::from_secs(60);

/// state that the clones of a node share
///
/// Lock order: `core`, then `lists`; `subscribers` is locked without another lock held.
pub(super) struct Inner {
    pub me: Member,
    pub runtime: Handle,
    pub pool: Pool,
    pub meter: Arc<Meter>,
    pub dropped: AtomicU64,
    pub stopping: watch::Sender<bool>,
    core: Mutex<Core>,
    lists: RwLock<MemberLists>,
    subscribers: Mutex<Vec<Sender<Publication>>>,
}

/// snapshot of the members
struct MemberLists {
    version: u64,
    updated_at: Instant,
    all: Arc<[Member]>,
    data_centre: Arc<[Member]>,
}

impl Inner {
    pub fn new(core: Core, pool: Pool, meter: Arc<Meter>) -> Inner {
        let me = core.local_member();
        let local_only: Arc<[Member]> = Arc::new([me.clone()]);
        Inner {
            me,
            runtime: Handle::current(),
            pool,
            meter,
            dropped: AtomicU64::new(0),
            stopping: watch::Sender::new(false),
            lists: RwLock::new(MemberLists {
                version: core.version(),
                updated_at: Instant::now(),
                all: local_only.clone(),
                data_centre: local_only,
            }),
            core: Mutex::new(core),
            subscribers: Mutex::new(Vec::new()),
        }
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// runs `view` on the locked core
    pub fn read<T>(&self, view: impl FnOnce(&Core, Instant) -> T) -> T {
        view(&self.core(), Instant::now())
    }

    /// runs `edit` on the locked core and starts the calls that result
    pub fn change<T>(self: &Arc<Self>, edit: impl FnOnce(&mut Core, Instant) -> T) -> T {
        self.change_with_calls(edit).0
    }

    /// as [`Inner::change`]; also returns the tasks of the calls
    pub fn change_with_calls<T>(
        self: &Arc<Self>,
        edit: impl FnOnce(&mut Core, Instant) -> T,
    ) -> (T, Vec<JoinHandle<()>>) {
        let now = Instant::now();
        let mut core = self.core();
        let result = edit(&mut core, now);
        let calls = core.take_calls();
        let publications = core.take_publications();
        self.refresh_lists(&core, now);
        drop(core);
        self.notify_subscribers(publications);
        let perform = |call| self.runtime.spawn(self.clone().perform(call));
        (result, calls.into_iter().map(perform).collect())
    }

    fn refresh_lists(&self, core: &Core, now: Instant) {
        let mut lists = self.lists.write().unwrap_or_else(PoisonError::into_inner);
        let is_recent = now.saturating_duration_since(lists.updated_at) < MAX_LIST_AGE;
        if is_recent && lists.version == core.version() {
            return;
        }
        let all: Arc<[Member]> = core.members(now).into();
        let data_centre = all.iter().filter(|member| self.is_active_here(member));
        *lists = MemberLists {
            version: core.version(),
            updated_at: now,
            data_centre: data_centre.cloned().collect(),
            all,
        };
    }

    /// whether a member is in this data centre and neither gone nor leaving
    fn is_active_here(&self, member: &Member) -> bool {
        member.data_centre == self.me.data_centre
            && matches!(member.state, State::Live | State::Suspect)
    }

    pub fn members(&self) -> Arc<[Member]> {
        let lists = self.lists.read().unwrap_or_else(PoisonError::into_inner);
        lists.all.clone()
    }

    pub fn data_centre_members(&self) -> Arc<[Member]> {
        let lists = self.lists.read().unwrap_or_else(PoisonError::into_inner);
        lists.data_centre.clone()
    }

    pub fn subscribe(&self, sender: Sender<Publication>) {
        let subscribers = &self.subscribers;
        let mut subscribers = subscribers.lock().unwrap_or_else(PoisonError::into_inner);
        subscribers.push(sender);
    }

    fn notify_subscribers(&self, publications: Vec<Publication>) {
        let subscribers = &self.subscribers;
        let mut subscribers = subscribers.lock().unwrap_or_else(PoisonError::into_inner);
        for publication in publications {
            subscribers.retain(
                |subscriber| match subscriber.try_send(publication.clone()) {
                    Ok(()) => true,
                    Err(TrySendError::Full(_)) => {
                        Meter::add(&self.dropped, 1);
                        true
                    }
                    Err(TrySendError::Disconnected(_)) => false,
                },
            );
        }
    }

    async fn perform(self: Arc<Self>, call: Call) {
        let Call {
            id,
            to,
            message,
            timeout,
        } = call;
        let result = self.send(&to.control, &message, timeout).await;
        if let Err(error) = &result {
            tracing::debug!(control = %to.control, %error, "protocol call failed");
        }
        self.change(|core, now| core.complete_call(id, result.ok(), now));
    }

    async fn send(
        &self,
        control: &str,
        message: &Message,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let pool = &self.pool;
        match message {
            Message::Probe(probe) => {
                let response = pool.call(control, super::methods::PROBE, probe, timeout);
                response.await.map(Response::Ack)
            }
            Message::Sync(digest) => {
                let response = pool.call(control, super::methods::SYNC, digest, timeout);
                response.await.map(Response::Difference)
            }
            Message::Exchange(exchange) => {
                let response = pool.call(control, super::methods::EXCHANGE, exchange, timeout);
                response.await.map(Response::Exchange)
            }
            Message::Check(check) => {
                let response = pool.call(control, super::methods::CHECK, check, timeout);
                response.await.map(|()| Response::Done)
            }
            Message::Confirm(confirm) => {
                let response = pool.call(control, super::methods::CONFIRM, confirm, timeout);
                response.await.map(|()| Response::Done)
            }
            Message::Push(push) => {
                let response = pool.call(control, super::methods::PUSH, push, timeout);
                response.await.map(|()| Response::Done)
            }
            Message::Report(report) => {
                let response = pool.call(control, super::methods::REPORT, report, timeout);
                response.await.map(|()| Response::Done)
            }
        }
    }

    /// runs the periodic work until the node stops
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
            if pruned.elapsed() >= PRUNE_PERIOD {
                pruned = Instant::now();
                self.pool.prune().await;
            }
        }
    }
}
