use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use super::AGE_CHECK_INTERVAL;
use super::backoff::Backoff;
use super::restoration::Restoration;
use crate::adapter::{Dialect, Event, Object, ObjectError, Objects, Revision};
use crate::model::{Health, Vm};
use crate::shared::Shared;

/// time after a change for which a watcher waits for further ones: VMs start and stop in groups,
/// whose entries change within about this time
const BATCH_TIME: Duration = Duration::from_millis(120);

/// time without a response from the store after which entries of live VMs may have expired
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2500);

/// keeps the upstream VMs current for as long as the process runs
pub async fn vms<D: Dialect, S: Objects>(shared: Rc<Shared<D>>, store: Rc<S>) {
    let mut backoff = Backoff::default();
    let mut restoration = Restoration::default();
    let mut must_list = false;
    loop {
        until_due(&shared, &mut restoration).await;
        let result = match position(&shared).filter(|_| !must_list) {
            Some(after) => watch(&shared, &*store, after, &mut restoration).await,
            None => list(&shared, &*store, &mut restoration).await,
        };
        shared.observe_generation(&*store);
        expire(&shared, &mut restoration);
        must_list = result.is_err();
        match result {
            Ok(()) => {
                if backoff.is_failing() {
                    tracing::info!(event = "store_regained", what = "vms");
                }
                backoff.reset();
            }
            Err(error) => {
                if !backoff.is_failing() {
                    tracing::warn!(event = "store_lost", what = "vms", cause = %error);
                    // the connection of a longer watch may be lost as well
                    shared.rollouts.confirmation_wanted.notify_one();
                }
                backoff.wait().await;
            }
        }
    }
}

/// where a watch can continue; none if the store has been restored since
fn position<D: Dialect>(shared: &Shared<D>) -> Option<Revision> {
    let revision = shared.relay.vm_revision();
    revision.filter(|revision| revision.generation == shared.generation.current())
}

/// returns when this daemon has to call the store
async fn until_due<D: Dialect>(shared: &Shared<D>, restoration: &mut Restoration) {
    loop {
        let is_due = |age| {
            shared
                .store_role()
                .needs_vms(age, shared.settings.policy.drain)
        };
        let age = shared.relay.vm_age();
        if age.map_or_else(|| !shared.awaits_peers(), is_due) {
            return;
        }
        sleep(AGE_CHECK_INTERVAL).await;
        expire(shared, restoration);
    }
}

async fn list<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    restoration: &mut Restoration,
) -> Result<(), ObjectError> {
    let requested_at = shared.clock.now();
    let list = store.list(S::VM_KIND).await?;
    let generation = list.revision.generation;
    if generation < shared.generation.current() {
        return Err(ObjectError::Expired);
    }
    let before = shared.relay.vm_revision();
    if Some(list.revision) < before {
        // a peer has sent a later state meanwhile
        return Ok(());
    }
    let is_restored = before.is_some_and(|before| before.generation < generation);
    let age = shared.relay.vm_age();
    let now = Instant::now();
    if is_restored || age.is_some_and(|age| age > OUTAGE_THRESHOLD) {
        restoration.keep_missing(now + shared.settings.policy.relist_time);
    }
    let mut listed = decode(shared, store, &list.objects);
    let previous = std::mem::take(&mut *shared.vms.borrow_mut());
    if is_restored {
        restoration.doubt_returned(&mut listed, &previous, &shared.departed.borrow(), now);
    }
    restoration.amend(&mut listed, previous);
    for vm in listed.values() {
        shared.doubt_origins(vm);
    }
    tracing::info!(
        event = "vms_listed",
        vms = listed.len(),
        waited_for = restoration.missing(),
        doubted = restoration.returned(),
    );
    *shared.vms.borrow_mut() = listed;
    if shared.listed_at.get().is_none() {
        shared.listed_at.set(Some(now));
    }
    shared.followed_vms.set(None);
    shared.relay.confirm_vms(list.revision, requested_at);
    shared.update_candidates();
    Ok(())
}

fn decode<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    objects: &[Object],
) -> HashMap<String, Rc<Vm>> {
    let mut vms = HashMap::new();
    for object in objects {
        match store.vm(&object.name, &object.spec) {
            Ok(vm) => {
                let vm = shared.with_departure(vm);
                vms.insert(vm.id.clone(), Rc::new(vm));
            }
            Err(cause) => {
                if let Some(left_out) = shared.permit_log("vm_unreadable") {
                    let vm = &object.name;
                    tracing::info!(event = "vm_unreadable", vm, cause, left_out);
                }
            }
        }
    }
    vms
}

/// watches once
async fn watch<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    after: Revision,
    restoration: &mut Restoration,
) -> Result<(), ObjectError> {
    let requested_at = shared.clock.now();
    let role = shared.store_role();
    let age = shared.relay.vm_age().unwrap_or_default();
    let wait = role.vm_watch_timeout(age, shared.settings.policy.drain);
    let watching = store.watch(S::VM_KIND, after, wait);
    let watch = match restoration.expires_at() {
        Some(until) => match timeout_at(until, watching).await {
            Ok(result) => result?,
            Err(_) => return Ok(()),
        },
        None => watching.await?,
    };
    if Some(watch.revision) < shared.relay.vm_revision() {
        // a peer has sent a later state meanwhile
        return Ok(());
    }
    for event in &watch.events {
        apply_event(shared, store, event, restoration);
    }
    // an update of the candidates passes the list on, so nobody sees the new revision with the old
    // list: there is no await in between
    let confirmed_at = if watch.events.is_empty() {
        super::confirmed_until(requested_at, shared.clock.now(), wait)
    } else {
        requested_at
    };
    shared.relay.confirm_vms(watch.revision, confirmed_at);
    if !watch.events.is_empty() {
        shared.followed_vms.set(None);
        shared.update_candidates();
        sleep(BATCH_TIME).await;
    }
    Ok(())
}

fn apply_event<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    event: &Event,
    restoration: &mut Restoration,
) {
    let name = &event.object.name;
    restoration.settle(name);
    let vm = if event.deleted {
        None
    } else {
        let object = std::slice::from_ref(&event.object);
        decode(shared, store, object).remove(name)
    };
    match vm {
        Some(vm) => shared.insert_vm(&vm),
        None => shared.remove_vm(name),
    }
}

/// ends the waits of a restoration whose time is over
fn expire<D: Dialect>(shared: &Shared<D>, restoration: &mut Restoration) {
    let (missing, returned) = restoration.expire(Instant::now());
    if missing.is_empty() && returned.is_empty() {
        return;
    }
    for vm in missing {
        let is_current = |current: &Rc<Vm>| Rc::ptr_eq(current, &vm);
        let is_unchanged = shared.vms.borrow().get(&vm.id).is_some_and(is_current);
        if is_unchanged {
            shared.remove_vm(&vm.id);
        }
    }
    for vm in returned {
        if !shared.vms.borrow().contains_key(&vm.id) {
            shared.insert_vm(&vm);
        }
    }
    shared.update_candidates();
}

impl<D: Dialect> Shared<D> {
    /// adds or replaces a VM, without an update of the candidates
    pub(super) fn insert_vm(&self, vm: &Rc<Vm>) {
        let now = Instant::now();
        let mut departed = self.departed.borrow_mut();
        match vm.health {
            Health::Ready => departed.record_listed(vm),
            Health::Draining => departed.record_draining(&vm.id, vm.started_at_ms, now),
        }
        drop(departed);
        self.doubt_origins(vm);
        let previous = self.vms.borrow_mut().insert(vm.id.clone(), Rc::clone(vm));
        log_listed(previous.as_deref(), vm);
    }

    /// removes a VM whose entry was deleted, without an update of the candidates
    pub(super) fn remove_vm(&self, id: &str) {
        let Some(vm) = self.vms.borrow_mut().remove(id) else {
            return;
        };
        let mut departed = self.departed.borrow_mut();
        departed.record_removed(&vm, Instant::now());
        tracing::info!(
            event = "vm_gone",
            vm = id,
            service = vm.service,
            zone = vm.zone
        );
    }

    /// a VM as registered, but draining if it is known to drain
    pub(super) fn with_departure(&self, vm: Vm) -> Vm {
        let mut vm = vm;
        let departed = self.departed.borrow();
        if departed.is_draining(&vm.id, vm.started_at_ms) {
            vm.health = Health::Draining;
        }
        vm
    }

    /// records the generation of the store's latest response
    pub fn observe_generation<S: Objects>(&self, store: &S) {
        self.generation.observe(store.generation());
        self.relay.set_generation(self.generation.current());
    }
}

/// logs a VM that is new, has restarted or has changed its health
fn log_listed(previous: Option<&Vm>, vm: &Vm) {
    if previous.is_some_and(|previous| {
        previous.health == vm.health
            && previous.started_at_ms == vm.started_at_ms
            && previous.version == vm.version
    }) {
        return;
    }
    tracing::info!(
        event = "vm_listed",
        vm = vm.id,
        service = vm.service,
        version = vm.version,
        zone = vm.zone,
        address = %vm.address,
        health = ?vm.health,
        reclaimable = vm.reclaimable,
    );
}
