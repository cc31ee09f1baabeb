use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};
use xxhash_rust::xxh3::Xxh3;

use super::Encoded;
use super::message::{ConfigUpdate, Known, Position, Reply, VmChange, VmUpdate};
use super::rollouts::Rollouts;
use crate::adapter::Revision;
use crate::clock::Clock;
use crate::freshness::Freshness;
use crate::model::{Health, Vm};
use crate::rollout::Entry;

/// longest time for which a call is held, whatever the caller asks for
const MAX_WAIT: Duration = Duration::from_secs(5);

/// removals that are remembered; a follower that missed more gets the complete list
const MAX_REMOVED: usize = 1024;

/// state of this daemon that followers receive, shared with the tasks that answer them
#[derive(Clone)]
pub struct Relay {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    freshness: Freshness,
    /// locked for the time of a look-up or an update only, never across an `await`
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Default)]
struct State {
    generation: u64,
    config: Option<Config>,
    config_revision: Option<Revision>,
    vms: Vms,
    rollouts: Rollouts,
}

struct Config {
    version: u64,
    generation: u64,
    body: Encoded,
}

/// the list of VMs with the number of the last change of each
#[derive(Default)]
struct Vms {
    position: Position,
    revision: Option<Revision>,
    confirmed_at: Option<Instant>,
    listed: BTreeMap<String, (Vm, u64)>,
    removed: VecDeque<(String, u64)>,
    forgotten: u64,
    complete: Option<Encoded>,
}

impl Relay {
    /// state of a process that has just started
    pub fn new(clock: Clock, freshness: Freshness) -> Relay {
        let state = State {
            vms: Vms {
                position: Position {
                    instance: rand::random::<u32>().into(),
                    ..Position::default()
                },
                ..Vms::default()
            },
            ..State::default()
        };
        Relay {
            shared: Arc::new(Shared {
                clock,
                freshness,
                state: Mutex::new(state),
                changed: Notify::new(),
            }),
        }
    }

    /// sets the configuration, which the store had in a generation
    pub fn set_config(&self, version: u64, generation: u64, body: Encoded) {
        self.state().config = Some(Config {
            version,
            generation,
            body,
        });
        self.shared.changed.notify_waiters();
    }

    /// version of the configuration, the generation of the store in which it was read last, and
    /// its content
    pub fn config(&self) -> Option<(u64, u64, Encoded)> {
        let state = self.state();
        let config = state.config.as_ref()?;
        Some((config.version, config.generation, config.body.clone()))
    }

    /// sets the revision up to which the configuration was read, which never decreases
    pub fn set_config_revision(&self, revision: Revision) {
        let mut state = self.state();
        state.config_revision = state.config_revision.max(Some(revision));
    }

    /// revision up to which the configuration was read
    pub fn config_revision(&self) -> Option<Revision> {
        self.state().config_revision
    }

    /// sets the generation of the store, which never decreases
    pub fn set_generation(&self, generation: u64) {
        let mut state = self.state();
        state.generation = state.generation.max(generation);
    }

    /// replaces the list of VMs
    pub fn set_vms(&self, vms: &HashMap<String, Rc<Vm>>) {
        if self.state().vms.replace(vms) {
            self.shared.changed.notify_waiters();
        }
    }

    /// records that the list of VMs was complete up to a revision and at a time; neither moves back
    pub fn confirm_vms(&self, revision: Revision, at: Instant) {
        let mut state = self.state();
        let vms = &mut state.vms;
        vms.revision = vms.revision.max(Some(revision));
        vms.confirmed_at = vms.confirmed_at.max(Some(at));
    }

    /// revision up to which the list of VMs is complete
    pub fn vm_revision(&self) -> Option<Revision> {
        self.state().vms.revision
    }

    /// when the list of VMs was last known to be complete
    pub fn vms_confirmed_at(&self) -> Option<Instant> {
        self.state().vms.confirmed_at
    }

    /// time since the list of VMs was known to be complete
    pub fn vm_age(&self) -> Option<Duration> {
        let at = self.state().vms.confirmed_at?;
        Some(self.shared.clock.now().saturating_duration_since(at))
    }

    /// replaces the requests for roll-outs
    pub fn set_rollouts(&self, entries: Vec<Entry>) {
        if self.state().rollouts.replace(entries) {
            self.shared.changed.notify_waiters();
        }
    }

    /// records that the list of requests was complete up to a revision, which never decreases
    pub fn confirm_rollouts(&self, revision: Revision) {
        self.state().rollouts.confirm(revision);
    }

    /// revision up to which the list of requests is complete
    pub fn rollouts_revision(&self) -> Option<Revision> {
        self.state().rollouts.revision()
    }

    /// what this daemon would ask another one for
    pub fn known(&self, vms: Position, wait: Duration) -> Known {
        let state = self.state();
        Known {
            config: state.config.as_ref().map(Config::order),
            vms,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            rollouts: state.rollouts.hash(),
        }
    }

    /// hash of the list of VMs
    pub fn vm_hash(&self) -> u64 {
        self.state().vms.position.hash
    }

    /// answers a follower once there is something newer than it knows, or its wait is over
    pub async fn answer(&self, known: Known) -> Reply {
        let start = Instant::now();
        let deadline = start + Duration::from_millis(known.wait_ms).min(MAX_WAIT);
        loop {
            let changed = self.shared.changed.notified();
            let reply = self.reply(&known, start);
            if reply.has_change() || Instant::now() >= deadline {
                return reply;
            }
            if timeout_at(deadline, changed).await.is_err() {
                return self.reply(&known, start);
            }
        }
    }

    fn reply(&self, known: &Known, start: Instant) -> Reply {
        let confirmation = self.shared.freshness.confirmation(self.shared.clock);
        let now = self.shared.clock.now();
        let mut state = self.state();
        let is_newer = |config: &&Config| known.config.is_none_or(|known| known < config.order());
        let config = state.config.as_ref().filter(is_newer);
        let config = config.map(|config| ConfigUpdate {
            generation: config.generation,
            body: config.body.clone(),
        });
        Reply {
            generation: state.generation,
            held_ms: u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX),
            config,
            confirmation,
            config_revision: state.config_revision,
            vms: state.vms.update(known.vms, now),
            rollouts: state.rollouts.update(known.rollouts),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Config {
    /// order of configurations: of two with the same version, the store's latest one applies
    fn order(&self) -> (u64, u64) {
        (self.version, self.generation)
    }
}

impl Reply {
    /// whether it has anything but confirmations
    fn has_change(&self) -> bool {
        let is_changed = |vms: &VmUpdate| vms.change != VmChange::None;
        let rollouts = self.rollouts.as_ref();
        self.config.is_some()
            || self.vms.as_ref().is_some_and(is_changed)
            || rollouts.is_some_and(|update| update.entries.is_some())
    }
}

impl Vms {
    /// replaces the list; false if it is the same
    fn replace(&mut self, vms: &HashMap<String, Rc<Vm>>) -> bool {
        let sequence = self.position.sequence + 1;
        let mut is_changed = self.position.sequence == 0;
        let gone: Vec<String> = self
            .listed
            .keys()
            .filter(|id| !vms.contains_key(*id))
            .cloned()
            .collect();
        for id in gone {
            is_changed = true;
            self.listed.remove(&id);
            self.removed.push_back((id, sequence));
        }
        for (id, vm) in vms {
            let previous = self.listed.get(id);
            if previous.is_none_or(|(previous, _)| *previous != **vm) {
                is_changed = true;
                let entry = (Vm::clone(vm), sequence);
                self.listed.insert(id.clone(), entry);
            }
        }
        if !is_changed {
            return false;
        }
        while self.removed.len() > MAX_REMOVED {
            if let Some((_, sequence)) = self.removed.pop_front() {
                self.forgotten = sequence;
            }
        }
        self.position.sequence = sequence;
        self.position.hash = self.hash();
        self.complete = None;
        true
    }

    /// the update for a follower; none before the first list
    fn update(&mut self, known: Position, now: Instant) -> Option<VmUpdate> {
        let (revision, confirmed_at) = (self.revision?, self.confirmed_at?);
        let age = now.saturating_duration_since(confirmed_at);
        let age_ms = age.as_nanos().div_ceil(1_000_000);
        Some(VmUpdate {
            position: self.position,
            revision,
            age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX),
            change: self.change(known)?,
        })
    }

    fn change(&mut self, known: Position) -> Option<VmChange> {
        if known.hash == self.position.hash && known.hash != 0 {
            return Some(VmChange::None);
        }
        if known.instance != self.position.instance || known.sequence < self.forgotten {
            return self.complete().map(VmChange::Complete);
        }
        let after = |sequence: u64| sequence > known.sequence;
        let listed = self.listed.values().filter(|(_, at)| after(*at));
        let removed = self.removed.iter().filter(|(_, at)| after(*at));
        Some(VmChange::Some {
            listed: listed.map(|(vm, _)| vm.clone()).collect(),
            removed: removed
                .filter(|(id, _)| !self.listed.contains_key(id))
                .map(|(id, _)| id.clone())
                .collect(),
        })
    }

    fn complete(&mut self) -> Option<Encoded> {
        if self.complete.is_none() {
            let vms: Vec<&Vm> = self.listed.values().map(|(vm, _)| vm).collect();
            match Encoded::new(&vms) {
                Ok(encoded) => self.complete = Some(encoded),
                Err(cause) => tracing::error!(event = "vms_not_encoded", cause),
            }
        }
        self.complete.clone()
    }

    /// hash of what placement uses of the list; never 0, which stands for no list
    fn hash(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (id, (vm, _)) in &self.listed {
            hash.update(id.as_bytes());
            hash.update(&vm.started_at_ms.to_le_bytes());
            hash.update(vm.service.as_bytes());
            hash.update(vm.version.as_bytes());
            hash.update(vm.address.to_string().as_bytes());
            hash.update(&[u8::from(vm.health == Health::Ready)]);
        }
        hash.digest().max(1)
    }
}
