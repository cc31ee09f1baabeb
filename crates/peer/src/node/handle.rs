use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, bounded};
use jsonrpsee::RpcModule;
use schema::member::{Fact, Leaving, Member, State};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::runtime::Handle;

use crate::{Applied, CallError, Demand, Error, Load, Notice, Settings, Traffic, duty};

/// notices kept for one subscriber; later ones are dropped and counted
const NOTICES: usize = 4096;

/// one daemon among the others; clones share it
#[derive(Clone)]
pub struct Node {
    inner: Arc<Inner>,
}

struct Inner {
    me: Member,
    runtime: Handle,
}

impl Node {
    /// listens on the control address and joins the others by the seeds
    ///
    /// `extra` holds further methods to serve on the control address.
    ///
    /// # Errors
    /// When a setting is missing, the address can't be listened on, or a method
    /// of `extra` has a name that is taken.
    pub async fn start(settings: Settings, extra: RpcModule<()>) -> Result<Node, Error> {
        settings.check()?;
        drop(extra);
        let me = Member {
            vm: settings.vm,
            instance: rand::random::<u64>() >> 11,
            region: settings.region,
            data_centre: settings.data_centre,
            control: settings.control,
            callers: settings.callers,
            state: State::Live,
        };
        let runtime = Handle::current();
        Ok(Node {
            inner: Arc::new(Inner { me, runtime }),
        })
    }

    /// this daemon
    pub fn me(&self) -> &Member {
        &self.inner.me
    }

    /// the live members of all data centres that can be reached, this one included
    pub fn members(&self) -> Arc<[Member]> {
        Arc::new([self.inner.me.clone()])
    }

    /// the members of this data centre that are live and do not leave
    pub fn local(&self) -> Vec<Member> {
        vec![self.inner.me.clone()]
    }

    /// tells the other daemons a fact
    pub fn publish(&self, _fact: Fact) {}

    /// a new subscription to the facts learned from now on
    pub fn facts(&self) -> Receiver<Notice> {
        bounded(NOTICES).1
    }

    /// highest revision of the configuration known
    pub fn revision(&self) -> u64 {
        0
    }

    /// revision in force on each live member that said so
    pub fn applied(&self) -> Vec<Applied> {
        Vec::new()
    }

    /// demand of a workspace
    pub fn demand(&self, _workspace: &str) -> Demand {
        Demand::default()
    }

    /// load reports of this data centre that have not lapsed
    pub fn loads(&self) -> Vec<Load> {
        Vec::new()
    }

    /// VMs said to leave, with the seconds they have left
    pub fn leaving(&self) -> Vec<Leaving> {
        Vec::new()
    }

    /// the member that a request was handed over to
    pub fn moved(&self, _request: &str) -> Option<Member> {
        None
    }

    /// whether this daemon is among the first `n` holders of a duty in its data centre
    pub fn holds(&self, duty: &str, n: usize) -> bool {
        duty::holds(&self.local(), self.inner.me.instance, duty, n)
    }

    /// the first `n` holders of a duty in this data centre, best first
    pub fn holders(&self, duty: &str, n: usize) -> Vec<Member> {
        duty::holders(&self.local(), duty, n)
            .into_iter()
            .cloned()
            .collect()
    }

    /// calls a method on another daemon
    ///
    /// # Errors
    /// The error's verdict says whether the method may have run.
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        member: &Member,
        _method: &str,
        _params: &P,
        _timeout: Duration,
    ) -> Result<R, CallError> {
        Err(CallError::Unreachable(member.control.clone()))
    }

    /// as [`Node::call`], from a thread outside the runtime
    ///
    /// # Errors
    /// As [`Node::call`].
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
    pub async fn leave(&self) {}

    /// says good-bye and ends the server and all tasks
    pub async fn stop(&self) {}

    /// counters of the control traffic
    pub fn traffic(&self) -> Traffic {
        Traffic::default()
    }
}
