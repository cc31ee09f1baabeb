use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use route::rollout::State as RolloutState;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::active::Active;
use super::attempt::Open;
use super::entry::Entry;
use super::message::{Saved, Stop};
use super::stops::Stops;
use super::versions::Versions;
use crate::adapter::{Dialect, Revision};
use crate::peers::Topology;
use crate::shared::Shared;

/// time after its deadline for which a request is carried on whose object is missing since the store
/// was restored
const LOST_TIME: Duration = Duration::from_secs(30);

/// roll-outs at this daemon
///
/// Cells that are borrowed together are borrowed in the order `open`, `active`, `versions`, `stops`.
#[derive(Default)]
pub struct State {
    /// the requests, by the name of their object
    pub(super) active: RefCell<BTreeMap<String, Active>>,
    pub(super) stops: RefCell<Stops>,
    pub(super) versions: RefCell<Versions>,
    /// attempts in flight
    pub(super) open: RefCell<HashMap<u64, Open>>,
    pub(super) next_open: Cell<u64>,
    /// time of the last decisions
    pub(super) evaluated_at: Cell<Option<Instant>>,
    /// revision of the last object that could not be decoded
    pub(super) unreadable: Cell<Option<Revision>>,
    /// what a checkpoint has of roll-outs
    pub(super) saved: RefCell<Vec<Saved>>,
    /// who reports to whom; none before this daemon has joined the others
    pub(super) topology: RefCell<Option<Topology>>,
    /// stops to send to the peers
    pub(crate) news: RefCell<Vec<Stop>>,
    /// notified when there are some
    pub(crate) news_ready: Notify,
    /// notified when the requests, the stops or the versions have changed
    pub(super) changed: Notify,
    /// notified when the status of a request may have to be written
    pub(super) status_due: Notify,
    /// notified when a request begins or ends, so that a checkpoint is to be written
    pub(crate) checkpoint_due: Notify,
    /// notified when the list of requests has to be confirmed
    pub(crate) confirmation_wanted: Notify,
}

impl State {
    /// sets who reports to whom
    pub fn set_topology(&self, topology: &Topology) {
        *self.topology.borrow_mut() = Some(topology.clone());
    }
}

impl<D: Dialect> Shared<D> {
    /// replaces the requests by a complete list
    pub fn set_rollouts(&self, entries: Vec<Entry>) {
        let names: Vec<String> = self.rollouts.active.borrow().keys().cloned().collect();
        let is_listed = |name: &String| entries.iter().any(|entry| entry.name == *name);
        let removed = names.into_iter().filter(|name| !is_listed(name));
        for name in removed.collect::<Vec<String>>() {
            self.remove_rollout(&name);
        }
        for entry in entries {
            self.insert_rollout(entry);
        }
        self.publish_rollouts();
    }

    /// adds or replaces a request, without passing it on
    pub(crate) fn insert_rollout(&self, entry: Entry) {
        let name = entry.name.clone();
        let mut entry = entry;
        let mut active = self.rollouts.active.borrow_mut();
        let previous = active.get_mut(&name);
        if let Some(known) = previous {
            if entry.revision < known.entry.revision {
                // this daemon has written the status since
                return;
            }
            if entry.continue_from(&known.entry) {
                let is_changed = known.entry != entry;
                known.is_lost = false;
                known.order.id = entry.id(entry.request);
                known.entry = entry;
                self.follow_status(known);
                drop(active);
                if is_changed {
                    self.rollouts.changed.notify_one();
                }
                return;
            }
        }
        let replaced = active.remove(&name);
        drop(active);
        if let Some(replaced) = replaced {
            self.give_up(&replaced, "replaced by another request");
        }
        self.begin_rollout(entry);
    }

    fn begin_rollout(&self, entry: Entry) {
        let mut entry = entry;
        let saved = self.take_saved(&mut entry);
        let now = self.clock.now();
        let mut begun = Active::new(entry, now);
        if let Some(saved) = saved {
            begun.restore(&saved);
            begun.refresh_start(now, self.wall_clock.now_ms());
        }
        let (entry, order) = (&begun.entry, &begun.order);
        tracing::info!(
            event = "rollout_seen",
            name = entry.name,
            service = order.service,
            to = order.target,
            duration_ms = order.duration.as_millis() as u64,
            revision = entry.revision.number,
            request = entry.request,
            state = ?entry.state(),
            age_ms = begun.elapsed(now).as_millis() as u64,
        );
        self.follow_status(&mut begun);
        let mut active = self.rollouts.active.borrow_mut();
        active.insert(begun.entry.name.clone(), begun);
        drop(active);
        self.rollouts.changed.notify_one();
        self.rollouts.checkpoint_due.notify_one();
    }

    /// ends a request whose status says so
    fn follow_status(&self, active: &mut Active) {
        let Some(state) = active.entry.state().filter(|_| active.entry.has_ended()) else {
            return;
        };
        if active.end == Some(state) {
            return;
        }
        active.end = Some(state);
        if state == RolloutState::Completed {
            active.replaced = self.versions_before(&active.order.service, &active.order.target);
        }
        tracing::info!(
            event = "rollout_ended",
            name = active.entry.name,
            service = active.order.service,
            to = active.order.target,
            ?state,
            after_ms = active.elapsed(self.clock.now()).as_millis() as u64,
            replaced = ?active.replaced,
        );
        self.rollouts.checkpoint_due.notify_one();
    }

    /// versions of a service whose VMs started before those of another one
    fn versions_before(&self, service: &str, target: &str) -> Vec<String> {
        let vms = self.vms.borrow();
        let of_service = || vms.values().filter(|vm| vm.service == service);
        let of_target = of_service().filter(|vm| vm.version == target);
        let first = of_target.map(|vm| vm.started_at_ms).min();
        let mut versions: Vec<String> = of_service()
            .filter(|vm| vm.version != target && Some(vm.started_at_ms) <= first)
            .map(|vm| vm.version.clone())
            .collect();
        versions.sort();
        versions.dedup();
        versions
    }

    /// removes a request whose object was deleted, without passing that on
    ///
    /// A store that was restored may lack a recent one, which is then carried on.
    pub(crate) fn remove_rollout(&self, name: &str) {
        let mut active = self.rollouts.active.borrow_mut();
        let Some(removed) = active.get_mut(name) else {
            return;
        };
        let now = self.clock.now();
        let is_lost = removed.entry.revision.generation < self.generation.current();
        let lasts_until = removed.started_at + removed.order.duration + LOST_TIME;
        if is_lost && now < lasts_until {
            if !std::mem::replace(&mut removed.is_lost, true) {
                tracing::warn!(
                    event = "rollout_lost",
                    name,
                    cause = "the restored store lacks the request, which is carried on"
                );
            }
            return;
        }
        let removed = active.remove(name);
        drop(active);
        if let Some(removed) = removed {
            self.give_up(&removed, "removed by the operator");
        }
        self.rollouts.changed.notify_one();
        self.rollouts.checkpoint_due.notify_one();
    }

    /// passes the requests on to the daemons that follow this one
    pub(crate) fn publish_rollouts(&self) {
        let active = self.rollouts.active.borrow();
        let entries = active.values().filter(|active| !active.is_lost);
        let entries: Vec<Entry> = entries.map(|active| active.entry.clone()).collect();
        drop(active);
        self.relay.set_rollouts(entries);
    }

    /// stops using a version to which requests are no longer moved
    fn give_up(&self, active: &Active, cause: &str) {
        let order = &active.order;
        tracing::info!(
            event = "rollout_withdrawn",
            name = active.entry.name,
            service = order.service,
            to = order.target,
            end = ?active.end,
            cause,
        );
        if active.end == Some(RolloutState::Completed) || active.rejected.is_some() {
            return;
        }
        let stop = active.stop(false);
        self.rollouts.stops.borrow_mut().add(stop, Instant::now());
    }
}
