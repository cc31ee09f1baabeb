use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use schema::objects::Lease as LeaseSpec;
use store::lease::{Action, Protocol, Snapshot, Timing, Write as Change};
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until};

use crate::adapter::{Dialect, ObjectError, Objects, Revision, Write};
use crate::clock::Clock;
use crate::generation::Generation;
use crate::peers::Peers;
use crate::shared::Shared;

/// kind of the object that holds the lease
const KIND: &str = "leases";

/// name of the object that holds the lease
const NAME: &str = "duties";

/// time limit of a call that needs the lease, which has to remain valid for as long when the
/// call begins
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// daemons that watch the lease closely, so that one of them takes over at once
const CANDIDATES: usize = 3;

/// fraction of the lease's duration between two reads by a candidate; each read is billed
const POLL_FRACTION: f64 = 0.5;

/// time after the start until the members are known, and with them this daemon's rank: a holder
/// keeps the lease, and one that receives the sums of the zones has the counts of all soonest
const RANK_TIME: Duration = Duration::from_millis(2000);

/// lease durations in which one of every [`STANDBYS_PER_READ`] standby daemons reads the lease:
/// standbys take over only if all candidates have failed
const STANDBY_READ_LEASES: u32 = 2;

/// standby daemons of which one reads the lease in each interval
const STANDBYS_PER_READ: u32 = 8;

/// mean pause after a failed call to the object API
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// proof that this daemon holds the lease; obtained right before a call
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permit {
    /// name of the daemon
    pub holder: String,
    /// fencing token, which increases with each holder
    pub fence: u64,
}

/// this daemon's participation in the lease
pub struct Lease {
    protocol: RefCell<Protocol>,
    name: String,
    clock: Clock,
    /// generation of the object API, and the one that the protocol's state belongs to
    generation: Rc<Generation>,
    protocol_generation: Cell<u64>,
    duration: Duration,
    /// whether there are no peers, so that the rank is known from the start
    is_alone: bool,
    peers: Rc<Peers>,
    /// notified after each call, which may have renewed the lease or ended the term
    called: Notify,
}

impl Lease {
    /// creates a participant that has not read the lease yet
    pub fn new<D: Dialect>(shared: &Shared<D>, peers: &Rc<Peers>) -> Rc<Lease> {
        let instance = format!(
            "{}-{:08x}",
            shared.settings.name,
            rand::rng().random::<u32>()
        );
        let mut timing = Timing::new(shared.settings.policy.lease);
        timing.poll_interval = timing.ttl.mul_f64(POLL_FRACTION);
        Rc::new(Lease {
            protocol: RefCell::new(Protocol::new(&instance, timing)),
            name: shared.settings.name.clone(),
            clock: shared.clock,
            generation: Rc::clone(&shared.generation),
            protocol_generation: Cell::new(0),
            duration: shared.settings.policy.lease,
            is_alone: shared.settings.is_alone,
            peers: Rc::clone(peers),
            called: Notify::new(),
        })
    }

    /// permission to start one call now, if the lease stays valid for its duration
    pub fn permit(&self) -> Option<Permit> {
        self.follow_generation();
        let term = self.protocol.borrow().term()?;
        let fence = term.fence_if_valid(self.clock.now() + CALL_TIMEOUT)?;
        Some(Permit {
            holder: self.name.clone(),
            fence,
        })
    }

    /// permission to start one call of this term, after the next renewal if the lease does not
    /// stay valid long enough now; none if the term ends before
    pub async fn next_permit(&self, fence: u64) -> Option<Permit> {
        loop {
            let called = self.called.notified();
            if let Some(permit) = self.permit() {
                return (permit.fence == fence).then_some(permit);
            }
            let (now, term) = (self.clock.now(), self.protocol.borrow().term());
            let term = term.filter(|term| term.fence_if_valid(now) == Some(fence))?;
            tokio::select! {
                () = called => {}
                () = self.wait(term.expires_at) => {}
            }
        }
    }

    /// the fencing token, if this daemon holds the lease
    pub fn fence(&self) -> Option<u64> {
        self.follow_generation();
        self.protocol.borrow().fence_if_valid(self.clock.now())
    }

    /// acquires and renews the lease for as long as the process runs
    ///
    /// A daemon that stops lets the lease expire instead of releasing it, so that no other
    /// daemon can acquire and lose it again within the duration of the lease.
    pub async fn run<S: Objects>(self: Rc<Self>, store: Rc<S>) {
        if !self.is_alone {
            // before it has met the others, every daemon is the first in rank
            sleep(RANK_TIME).await;
        }
        let mut last_fence = None;
        loop {
            self.follow_generation();
            let nonce = format!("{:016x}", rand::rng().random::<u64>());
            let action = self.protocol.borrow_mut().next(self.clock.now(), &nonce);
            match action {
                Action::Wait(until) => self.wait(until).await,
                Action::Read => {
                    if self.peers.rank() >= CANDIDATES {
                        sleep(self.standby_interval()).await;
                    }
                    self.read(&*store).await;
                }
                Action::Write(change) => self.write(&*store, &change).await,
            }
            self.called.notify_waiters();
            let fence = self.fence();
            if fence != last_fence {
                tracing::info!(event = "lease_changed", fence, before = last_fence);
                last_fence = fence;
            }
        }
    }

    /// ends the term if the object API has been restored from a copy since it was acquired
    ///
    /// A process that starts can't tell whether a restore has just happened, and treats the first
    /// generation that it sees as new, unless the store was never restored.
    fn follow_generation(&self) {
        let current = self.generation.current();
        if current <= self.protocol_generation.get() {
            return;
        }
        self.protocol_generation.set(current);
        let first = Revision {
            generation: current,
            number: 0,
        };
        let seen_at = self.generation.first_seen();
        let seen_at = seen_at.unwrap_or_else(|| self.clock.now());
        let mut protocol = self.protocol.borrow_mut();
        protocol.on_restored(first.packed(), seen_at);
    }

    /// interval between two reads of the lease by a standby daemon, long enough that all of
    /// them together read as often as a few would
    fn standby_interval(&self) -> Duration {
        let daemons = u32::try_from(self.peers.daemons()).unwrap_or(u32::MAX);
        let jitter = rand::rng().random_range(0.5..1.5);
        (self.duration * STANDBY_READ_LEASES * (daemons / STANDBYS_PER_READ).max(1)).mul_f64(jitter)
    }

    /// sleeps until a time of the clock that includes suspension
    async fn wait(&self, until: tokio::time::Instant) {
        let remaining = until.saturating_duration_since(self.clock.now());
        tokio::select! {
            () = sleep_until(tokio::time::Instant::now() + remaining) => {}
            () = self.generation.restored() => {}
        }
    }

    async fn read<S: Objects>(&self, store: &S) {
        let result = store.get(KIND, NAME).await;
        self.generation.observe(store.generation());
        self.follow_generation();
        let snapshot = match result {
            Ok(object) => match serde_json::from_value::<LeaseSpec>(object.spec) {
                Ok(spec) => Snapshot {
                    version: object.revision.packed(),
                    spec: Some(spec),
                },
                Err(error) => {
                    tracing::error!(event = "lease_unreadable", %error);
                    sleep(RETRY_PAUSE).await;
                    return;
                }
            },
            Err(ObjectError::Missing) => Snapshot {
                version: Revision {
                    generation: self.protocol_generation.get(),
                    number: 0,
                }
                .packed(),
                spec: None,
            },
            Err(error) => return self.pause("read", &error).await,
        };
        self.protocol
            .borrow_mut()
            .on_read(snapshot, self.clock.now());
    }

    async fn write<S: Objects>(&self, store: &S, change: &Change) {
        let spec = match serde_json::to_value(&change.spec) {
            Ok(spec) => spec,
            Err(error) => {
                tracing::error!(event = "lease_unwritable", %error);
                return sleep(RETRY_PAUSE).await;
            }
        };
        let how = if change.create {
            Write::Create
        } else {
            Write::Replace(Revision::unpack(change.base))
        };
        let result = store.write(KIND, NAME, &spec, how).await;
        self.generation.observe(store.generation());
        // after a restore, the same revision may be another write, and the result proves nothing
        self.follow_generation();
        let now = self.clock.now();
        let error = {
            let mut protocol = self.protocol.borrow_mut();
            match result {
                Ok(revision) => {
                    protocol.on_written(revision.packed(), now);
                    return;
                }
                Err(ObjectError::Conflict | ObjectError::Missing) => {
                    protocol.on_conflict();
                    return;
                }
                Err(error @ (ObjectError::Refused(_) | ObjectError::Expired)) => {
                    protocol.on_not_run();
                    error
                }
                Err(error @ ObjectError::Unknown(_)) => {
                    protocol.on_unknown();
                    error
                }
            }
        };
        self.pause("write", &error).await;
    }

    async fn pause(&self, call: &str, error: &ObjectError) {
        tracing::debug!(event = "lease_call_failed", call, cause = %error);
        sleep(RETRY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))).await;
    }
}
