use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, bounded};
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use schema::member::{Fact, Leaving, Member, Notice, State};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use super::inner::Inner;
use super::methods;
use crate::gossip::Core;
use crate::rpc::{Keys, MAX_PENDING, Meter, Pool, Server};
use crate::{Applied, CallError, Demand, Error, Load, Publication, Settings, Traffic, duty};

/// capacity of a subscriber's channel; further publications are dropped and counted
const SUBSCRIBER_CAPACITY: usize = 4096;

/// capacity of the channel of broken connections
const BROKEN_CAPACITY: usize = 1024;
/// high bits of an instance number that stay 0: a JSON number is exact up to 53 bits
const UNUSED_BITS: u32 = 11;
/// longest wait until other daemons received the state of one that drains or stops
const MAX_ANNOUNCE_WAIT: Duration = Duration::from_millis(1000);

/// a daemon's node in the cluster; clones share its state
#[derive(Clone)]
pub struct Node {
    inner: Arc<Inner>,
    server: Arc<Server>,
}

impl Node {
    /// listens on the control address and joins the cluster through the seeds
    ///
    /// Runs on the current runtime. `extra` holds further methods to serve on the control
    /// address. Each has one parameter and needs the fleet key, or the operator key if its
    /// name begins with `operator_`.
    ///
    /// # Errors
    /// If a setting is missing or invalid, listening on the address fails, or the name of a
    /// method of `extra` is already registered.
    pub async fn start(settings: Settings, extra: RpcModule<()>) -> Result<Node, Error> {
        settings.validate()?;
        let listen_error = |error: std::io::Error| Error::Listen {
            address: settings.control.clone(),
            cause: error.to_string(),
        };
        let listener = TcpListener::bind(&settings.control)
            .await
            .map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
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
        let (broken_sender, broken) = bounded(BROKEN_CAPACITY);
        let pool = Pool::new(&settings.fleet_key, meter.clone(), broken_sender);
        let core = Core::new(me, &settings.seeds, rand::random(), Instant::now());
        let inner = Arc::new(Inner::new(core, pool, meter.clone()));
        let method_error = |error: RegisterMethodError| Error::Method(error.to_string());
        let mut methods = methods::module(&inner).map_err(method_error)?;
        methods.merge(extra).map_err(method_error)?;
        let max_pending = settings.max_pending.unwrap_or(MAX_PENDING);
        let keys = Keys::new(&settings.fleet_key, &settings.operator_key);
        let server =
            Server::start(listener, methods.into(), keys, meter, max_pending).map_err(|error| {
                Error::Listen {
                    address: address.to_string(),
                    cause: error.to_string(),
                }
            })?;
        tokio::spawn(inner.clone().run(broken));
        let server = Arc::new(server);
        Ok(Node { inner, server })
    }

    /// this daemon, in its state at the start
    pub fn me(&self) -> &Member {
        &self.inner.me
    }

    /// the members of all reachable data centres that are not gone, this daemon included
    ///
    /// A snapshot, at most a second old.
    pub fn members(&self) -> Arc<[Member]> {
        self.inner.members()
    }

    /// the members of this data centre that are neither gone nor leaving
    pub fn data_centre_members(&self) -> Vec<Member> {
        self.inner.data_centre_members().to_vec()
    }

    /// publishes a fact to the other daemons
    ///
    /// Urgent facts are pushed at once. Load and demand are sent at a limited rate: of two
    /// that are published within a period, only the later one is sent.
    pub fn publish(&self, fact: Fact) {
        self.inner.change(|core, now| core.publish(fact, now));
    }

    /// subscribes to the facts that are received from now on
    ///
    /// A subscriber that falls behind loses publications, which
    /// [`Traffic::dropped_publications`] counts; the getters return the latest facts in any
    /// case.
    pub fn subscribe(&self) -> Receiver<Publication> {
        let (sender, receiver) = bounded(SUBSCRIBER_CAPACITY);
        self.inner.subscribe(sender);
        receiver
    }

    /// highest revision of the configuration that any daemon published
    pub fn revision(&self) -> u64 {
        self.inner.read(|core, _| core.revision())
    }

    /// revision applied by each member of this data centre that published it and is not gone
    pub fn applied_revisions(&self) -> Vec<Applied> {
        self.inner.read(|core, now| core.applied_revisions(now))
    }

    /// demand of a workspace
    pub fn demand(&self, workspace: &str) -> Demand {
        self.inner.read(|core, _| core.demand(workspace))
    }

    /// unexpired load reports of this data centre
    pub fn loads(&self) -> Vec<Load> {
        self.inner.read(|core, now| core.loads(now))
    }

    /// VMs published as draining, with the seconds until their end
    pub fn draining_vms(&self) -> Vec<Leaving> {
        self.inner.read(|core, now| core.draining_vms(now))
    }

    /// statements of upstream VMs, with the time since each was received
    pub fn notices(&self) -> Vec<(Notice, Duration)> {
        self.inner.read(|core, now| core.notices(now))
    }

    /// the member that a request was handed over to, if it is not gone
    pub fn handover_target(&self, request: &str) -> Option<Member> {
        self.inner
            .read(|core, now| core.handover_target(request, now))
    }

    /// whether this daemon is among the first `n` holders of a duty in its data centre
    pub fn holds_duty(&self, duty: &str, n: usize) -> bool {
        duty::holds(
            &self.inner.data_centre_members(),
            self.inner.me.instance,
            duty,
            n,
        )
    }

    /// the first `n` holders of a duty in this data centre, by descending score
    pub fn duty_holders(&self, duty: &str, n: usize) -> Vec<Member> {
        duty::holders(&self.inner.data_centre_members(), duty, n)
            .into_iter()
            .cloned()
            .collect()
    }

    /// calls a method on another daemon; `params` is its one parameter
    ///
    /// # Errors
    /// If the call fails; [`CallError::verdict`] says whether the method may have run.
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
    /// If called on a thread of the runtime.
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

    /// announces that this daemon drains: it gets no more duties and hand-overs
    ///
    /// Returns when the first members have received it, or after [`MAX_ANNOUNCE_WAIT`].
    pub async fn start_drain(&self) {
        let (_, calls) = self.inner.change_with_calls(Core::start_drain);
        wait_for_calls(calls).await;
    }

    /// announces that this daemon is gone, then stops the server and all tasks
    pub async fn stop(&self) {
        let (_, calls) = self.inner.change_with_calls(Core::quit);
        wait_for_calls(calls).await;
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
            dropped_publications: read(&self.inner.dropped),
        }
    }
}

/// waits for calls, for at most [`MAX_ANNOUNCE_WAIT`]
async fn wait_for_calls(calls: Vec<JoinHandle<()>>) {
    let deadline = Instant::now() + MAX_ANNOUNCE_WAIT;
    for call in calls {
        // if a call fails or takes too long, the members that were reached spread the state
        let _ = timeout_at(deadline, call).await;
    }
}
