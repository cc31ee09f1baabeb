use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use schema::objects::Lease as Content;
use store::lease::{Action, Protocol, Snapshot, Timing, Write as Change};
use tokio::time::{sleep, sleep_until};

use crate::clock::Clock;
use crate::peers::Peers;
use crate::seam::{Dialect, Fault, Objects, Write};
use crate::shared::Shared;

/// kind of the object that holds the lease
const KIND: &str = "leases";

/// name of the object that holds the lease
const NAME: &str = "duties";

/// time that the lease must still hold when a call begins: the call's own time limit
pub const CALL_TIME: Duration = Duration::from_millis(700);

/// daemons that look after the lease closely, so that one of them takes over at once
const CANDIDATES: usize = 3;

/// time between two reads of the other daemons, in lengths of the lease, and for each so
/// many of them: they take over only where all candidates are gone
const OTHERS_READ: u32 = 2;

/// daemons of which one reads in that time
const OTHERS_EACH: u32 = 8;

/// pause after a call to the object API failed
const PAUSE: Duration = Duration::from_millis(250);

/// shows that this daemon holds the lease; made right before a call
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permit {
    /// name of the daemon
    pub holder: String,
    /// number that rises with each holder
    pub fence: u64,
}

/// this daemon's part in the lease
pub struct Holder {
    machine: RefCell<Protocol>,
    name: String,
    clock: Clock,
    lease: Duration,
    peers: Rc<Peers>,
}

impl Holder {
    /// a daemon that has seen nothing of the lease yet
    pub fn new<D: Dialect>(shared: &Shared<D>, peers: &Rc<Peers>) -> Rc<Holder> {
        let instance = format!(
            "{}-{:08x}",
            shared.settings.name,
            rand::rng().random::<u32>()
        );
        let timing = Timing::new(shared.settings.promises.lease);
        Rc::new(Holder {
            machine: RefCell::new(Protocol::new(&instance, timing)),
            name: shared.settings.name.clone(),
            clock: shared.clock,
            lease: shared.settings.promises.lease,
            peers: Rc::clone(peers),
        })
    }

    /// the right to make one call now
    pub fn permit(&self) -> Option<Permit> {
        let term = self.machine.borrow().term()?;
        let fence = term.fence_if_valid(self.clock.now() + CALL_TIME)?;
        Some(Permit {
            holder: self.name.clone(),
            fence,
        })
    }

    /// the fencing number while the lease holds
    pub fn fence(&self) -> Option<u64> {
        self.machine.borrow().fence_if_valid(self.clock.now())
    }

    /// takes part in the lease for as long as the process runs
    ///
    /// A daemon that stops does not give the lease back but lets it lapse: so no other
    /// daemon can act and lose it again within the time that the lease binds.
    pub async fn run<S: Objects>(self: Rc<Self>, store: Rc<S>) {
        let mut held = None;
        loop {
            let nonce = format!("{:016x}", rand::rng().random::<u64>());
            let action = self.machine.borrow_mut().next(self.clock.now(), &nonce);
            match action {
                Action::Wait(until) => self.wait(until).await,
                Action::Read => {
                    if self.peers.rank() >= CANDIDATES {
                        sleep(self.others_wait()).await;
                    }
                    self.read(&*store).await;
                }
                Action::Write(change) => self.write(&*store, &change).await,
            }
            let fence = self.fence();
            if fence != held {
                tracing::info!(event = "lease_changed", fence, before = held);
                held = fence;
            }
        }
    }

    /// time between two reads of a daemon that is no candidate, so that all of them
    /// together read as often as a few
    fn others_wait(&self) -> Duration {
        let daemons = u32::try_from(self.peers.daemons()).unwrap_or(u32::MAX);
        let jitter = rand::rng().random_range(0.5..1.5);
        (self.lease * OTHERS_READ * (daemons / OTHERS_EACH).max(1)).mul_f64(jitter)
    }

    /// waits by the clock that counts suspension
    async fn wait(&self, until: tokio::time::Instant) {
        let left = until.saturating_duration_since(self.clock.now());
        sleep_until(tokio::time::Instant::now() + left).await;
    }

    async fn read<S: Objects>(&self, store: &S) {
        let seen = match store.get(KIND, NAME).await {
            Ok(object) => match serde_json::from_value::<Content>(object.spec) {
                Ok(spec) => Snapshot {
                    version: object.revision,
                    spec: Some(spec),
                },
                Err(error) => {
                    tracing::error!(event = "lease_unreadable", %error);
                    sleep(PAUSE).await;
                    return;
                }
            },
            Err(Fault::Missing) => Snapshot {
                version: 0,
                spec: None,
            },
            Err(fault) => return self.pause("read", &fault).await,
        };
        self.machine.borrow_mut().on_read(seen, self.clock.now());
    }

    async fn write<S: Objects>(&self, store: &S, change: &Change) {
        let spec = match serde_json::to_value(&change.spec) {
            Ok(spec) => spec,
            Err(error) => {
                tracing::error!(event = "lease_unwritable", %error);
                return sleep(PAUSE).await;
            }
        };
        let how = if change.create {
            Write::Create
        } else {
            Write::Replace(change.base)
        };
        let result = store.write(KIND, NAME, &spec, how).await;
        let now = self.clock.now();
        let fault = {
            let mut machine = self.machine.borrow_mut();
            match result {
                Ok(revision) => {
                    machine.on_written(revision, now);
                    return;
                }
                Err(Fault::Conflict | Fault::Missing) => {
                    machine.on_conflict();
                    return;
                }
                Err(fault @ (Fault::Refused(_) | Fault::Expired)) => {
                    machine.on_not_run();
                    fault
                }
                Err(fault @ Fault::Unknown(_)) => {
                    machine.on_unknown();
                    fault
                }
            }
        };
        self.pause("write", &fault).await;
    }

    async fn pause(&self, call: &str, fault: &Fault) {
        tracing::debug!(event = "lease_call_failed", call, cause = %fault);
        sleep(PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))).await;
    }
}
