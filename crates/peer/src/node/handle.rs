use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, bounded};
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use schema::member::{Fact, Leaving, Member, State};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use super::inner::Inner;
use super::methods;
use crate::gossip::Core;
use crate::rpc::{Keys, Meter, Pool, Server};
use crate::{Applied, CallError, Demand, Error, Load, Notice, Settings, Traffic, duty};

/// notices kept for one subscriber; later ones are dropped and counted
const NOTICES: usize = 4096;

/// connections that broke and are not looked at yet
const BROKEN: usize = 1024;
/// bits of an instance number that stay 0, so that it fits a JSON number
const UNUSED_BITS: u32 = 11;
/// longest time for telling others that this daemon leaves
const FAREWELL: Duration = Duration::from_millis(1000);

/// one daemon among the others; clones share it
#[derive(Clone)]
pub struct Node {
    inner: Arc<Inner>,
    server: Arc<Server>,
}

impl Node {
    /// listens on the control address and joins the others by the seeds
    ///
    /// Runs on the current runtime. `extra` holds further methods to serve on the control
    /// address; each has one parameter and is called with the fleet key, or with the
    /// operator key if its name begins with `operator_`.
    ///
    /// # Errors
    /// When a setting is missing, the address can't be listened on, or a method
    /// of `extra` has a name that is taken.
    pub async fn start(settings: Settings, extra: RpcModule<()>) -> Result<Node, Error> {
        settings.check()?;
        let failed = |error: std::io::Error| Error::Listen {
            address: settings.control.clone(),
            cause: error.to_string(),
        };
        let listener = TcpListener::bind(&settings.control).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let me = Member {
            vm: settings.vm,
            instance: rand::random::<u64>() >> UNUSED_BITS,
            region: settings.region,
            data_centre: settings.data_centre,
            control: address.to_string(),
            callers: settings.callers,
            state: State::Live,
        };
        let meter = Arc::new(Meter::default());
        let (broken_sender, broken) = bounded(BROKEN);
        let pool = Pool::new(&settings.fleet_key, meter.clone(), broken_sender);
        let core = Core::new(me, &settings.seeds, rand::random(), Instant::now());
        let inner = Arc::new(Inner::new(core, pool, meter.clone()));
        let refused = |error: RegisterMethodError| Error::Method(error.to_string());
        let mut methods = methods::module(&inner).map_err(refused)?;
        methods.merge(extra).map_err(refused)?;
        let keys = Keys::new(&settings.fleet_key, &settings.operator_key);
        let server = Server::start(listener, methods.into(), keys, meter).map_err(|error| {
            Error::Listen {
                address: address.to_string(),
                cause: error.to_string(),
            }
        })?;
        tokio::spawn(inner.clone().run(broken));
        let server = Arc::new(server);
        Ok(Node { inner, server })
    }

    /// this daemon
    pub fn me(&self) -> &Member {
        &self.inner.me
    }

    /// the live members of all data centres that can be reached, this one included
    ///
    /// A snapshot, at most a second old.
    pub fn members(&self) -> Arc<[Member]> {
        self.inner.all()
    }

    /// the members of this data centre that are live and do not leave
    pub fn local(&self) -> Vec<Member> {
        self.inner.local().to_vec()
    }

    /// tells the other daemons a fact
    ///
    /// Urgent facts are pushed at once, others go out at a bounded rate: of two
    /// published too fast one after the other only the later goes out.
    pub fn publish(&self, fact: Fact) {
        self.inner.change(|core, now| core.publish(fact, now));
    }

    /// a new subscription to the facts learned from now on
    ///
    /// A subscriber that falls behind loses notices, which [`Traffic::dropped_notices`]
    /// counts; the getters have the latest facts in any case.
    pub fn facts(&self) -> Receiver<Notice> {
        let (sender, receiver) = bounded(NOTICES);
        self.inner.subscribe(sender);
        receiver
    }

    /// highest revision of the configuration known
    pub fn revision(&self) -> u64 {
        self.inner.read(|core, _| core.revision())
    }

    /// revision in force on each live member of this data centre that said so
    pub fn applied(&self) -> Vec<Applied> {
        self.inner.read(|core, now| core.applied(now))
    }

    /// demand of a workspace
    pub fn demand(&self, workspace: &str) -> Demand {
        self.inner.read(|core, _| core.demand(workspace))
    }

    /// load reports of this data centre that have not lapsed
    pub fn loads(&self) -> Vec<Load> {
        self.inner.read(|core, now| core.loads(now))
    }

    /// VMs said to leave, with the seconds they have left
    pub fn leaving(&self) -> Vec<Leaving> {
        self.inner.read(|core, now| core.leaving(now))
    }

    /// the member that a request was handed over to
    pub fn moved(&self, request: &str) -> Option<Member> {
        self.inner.read(|core, now| core.moved(request, now))
    }

    /// whether this daemon is among the first `n` holders of a duty in its data centre
    pub fn holds(&self, duty: &str, n: usize) -> bool {
        duty::holds(&self.inner.local(), self.inner.me.instance, duty, n)
    }

    /// the first `n` holders of a duty in this data centre, best first
    pub fn holders(&self, duty: &str, n: usize) -> Vec<Member> {
        duty::holders(&self.inner.local(), duty, n)
            .into_iter()
            .cloned()
            .collect()
    }

    /// calls a method on another daemon; `params` is its one parameter
    ///
    /// # Errors
    /// The error's verdict says whether the method may have run.
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        member: &Member,
        method: &str,
        params: &P,
        timeout: Duration,
    ) -> Result<R, CallError> {
        let pool = &self.inner.pool;
        pool.call(&member.control, method, params, timeout).await
    }

    /// as [`Node::call`], from a thread outside the runtime
    ///
    /// # Errors
    /// As [`Node::call`].
    ///
    /// # Panics
    /// On a thread of the runtime.
    pub fn call_blocking<P: Serialize, R: DeserializeOwned>(
        &self,
        member: &Member,
        method: &str,
        params: &P,
        timeout: Duration,
    ) -> Result<R, CallError> {
        let call = self.call(member, method, params, timeout);
        self.inner.runtime.block_on(call)
    }

    /// says that this daemon leaves: it takes no more duties and hand-overs
    ///
    /// Returns when the first members know, or after a second.
    pub async fn leave(&self) {
        let (_, calls) = self.inner.change_and_watch(Core::leave);
        settle(calls).await;
    }

    /// says good-bye and ends the server and all tasks
    pub async fn stop(&self) {
        let (_, calls) = self.inner.change_and_watch(Core::quit);
        settle(calls).await;
        self.inner.stopping.send_replace(true);
        self.server.stop();
        self.inner.pool.clear().await;
    }

    /// counters of the control traffic
    pub fn traffic(&self) -> Traffic {
        let meter = &self.inner.meter;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Traffic {
            sent_bytes: read(&meter.sent_bytes),
            received_bytes: read(&meter.received_bytes),
            calls: read(&meter.calls),
            failures: read(&meter.failures),
            served: read(&meter.served),
            connections: read(&meter.connections),
            dropped_notices: read(&self.inner.dropped),
        }
    }
}

/// waits for calls, within bounds
async fn settle(calls: Vec<JoinHandle<()>>) {
    let deadline = Instant::now() + FAREWELL;
    for call in calls {
        // a call that fails or takes too long is made good by other members
        let _ = timeout_at(deadline, call).await;
    }
}
