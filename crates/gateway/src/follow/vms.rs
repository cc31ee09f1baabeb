use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use super::backoff::Backoff;
use super::change::Change;
use crate::adapter::{Dialect, Event, Object, ObjectError, Objects};
use crate::model::Vm;
use crate::shared::Shared;

/// longest wait of a watch, which bounds how long a dead connection goes unnoticed
const WATCH_TIMEOUT: Duration = Duration::from_millis(3000);

/// time after a change for which the daemon that sends changes to its peers waits for further
/// ones: VMs start and stop in groups, whose entries change within about this time
const BATCH_TIME: Duration = Duration::from_millis(120);

/// fraction of the drain time for which the other daemons wait after a change: each response of
/// a watch is billed, and they receive the changes from a peer anyway
const BATCH_DRAIN_FRACTION: f64 = 0.35;

/// time without a response from the store after which entries of live VMs may have expired
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2500);

/// VMs whose entries are missing after an outage, and until when they are kept
struct Missing {
    until: Option<Instant>,
    vms: HashMap<String, Rc<Vm>>,
}

/// keeps the upstream VMs current for as long as the process runs
pub async fn vms<D: Dialect, S: Objects>(shared: Rc<Shared<D>>, store: Rc<S>) {
    let mut backoff = Backoff::default();
    let mut missing = Missing {
        until: None,
        vms: HashMap::new(),
    };
    let mut last_response: Option<Instant> = None;
    loop {
        let error = match store.list(S::VM_KIND).await {
            Ok(list) => {
                if backoff.is_failing() {
                    tracing::info!(event = "store_regained", what = "vms");
                }
                backoff.reset();
                let now = Instant::now();
                if last_response.is_some_and(|last_response| now > last_response + OUTAGE_THRESHOLD)
                {
                    missing.until = Some(now + shared.settings.policy.relist_time);
                }
                replace_vms(&shared, &*store, &list.objects, &mut missing);
                shared
                    .vm_revisions
                    .borrow_mut()
                    .record_watched(list.revision);
                watch(
                    &shared,
                    &*store,
                    list.revision,
                    &mut missing,
                    &mut last_response,
                )
                .await
            }
            Err(error) => error,
        };
        if !backoff.is_failing() {
            tracing::warn!(event = "store_lost", what = "vms", cause = %error);
        }
        missing.expire(&shared);
        backoff.wait().await;
    }
}

/// replaces the VMs by a complete list, plus those that are missing after an outage
fn replace_vms<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    objects: &[Object],
    missing: &mut Missing,
) {
    let mut listed: HashMap<String, Rc<Vm>> = HashMap::new();
    for object in objects {
        match store.vm(&object.name, &object.spec) {
            Ok(vm) => {
                listed.insert(vm.id.clone(), Rc::new(vm));
            }
            Err(cause) => {
                tracing::debug!(event = "vm_unreadable", vm = object.name, cause);
            }
        }
    }
    let previous = std::mem::take(&mut *shared.vms.borrow_mut());
    if missing.until.is_some() {
        for (id, vm) in previous {
            if !listed.contains_key(&id) {
                missing.vms.insert(id, vm);
            }
        }
        listed.extend(
            missing
                .vms
                .iter()
                .map(|(id, vm)| (id.clone(), Rc::clone(vm))),
        );
    }
    tracing::info!(
        event = "vms_listed",
        vms = listed.len(),
        waited_for = missing.vms.len()
    );
    *shared.vms.borrow_mut() = listed;
    if shared.listed_at.get().is_none() {
        shared.listed_at.set(Some(Instant::now()));
    }
    shared.update_candidates();
}

/// pause after a change in which further ones accumulate
fn batch_time<D: Dialect>(shared: &Shared<D>) -> Duration {
    if shared.sends_vm_changes.get() {
        BATCH_TIME
    } else {
        shared.settings.policy.drain.mul_f64(BATCH_DRAIN_FRACTION)
    }
}

/// applies VM changes received from a peer
pub fn apply_changes<D: Dialect>(shared: &Shared<D>, changes: Vec<Change>) {
    let mut changed = false;
    for change in changes {
        if !shared.vm_revisions.borrow_mut().accepts(&change) {
            continue;
        }
        changed = true;
        let mut vms = shared.vms.borrow_mut();
        match change {
            Change::Listed { vm, .. } => {
                let previous = vms.insert(vm.id.clone(), Rc::new(vm.clone()));
                log_listed(previous.as_deref(), &vm);
            }
            Change::Removed { id, .. } => remove(&mut vms, &id),
        }
    }
    if changed {
        shared.update_candidates();
    }
}

fn remove(vms: &mut HashMap<String, Rc<Vm>>, id: &str) {
    if let Some(vm) = vms.remove(id) {
        tracing::info!(
            event = "vm_gone",
            vm = id,
            service = vm.service,
            zone = vm.zone
        );
    }
}

/// watches until a call fails
async fn watch<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    revision: u64,
    missing: &mut Missing,
    last_response: &mut Option<Instant>,
) -> ObjectError {
    let mut revision = revision;
    loop {
        *last_response = Some(Instant::now());
        let watching = store.watch(S::VM_KIND, revision, WATCH_TIMEOUT);
        let result = match missing.until {
            Some(until) => match timeout_at(until, watching).await {
                Ok(result) => result,
                Err(_) => {
                    missing.expire(shared);
                    continue;
                }
            },
            None => watching.await,
        };
        let watch = match result {
            Ok(watch) => watch,
            Err(error) => return error,
        };
        revision = revision.max(watch.revision);
        for event in &watch.events {
            let change = apply_event(shared, store, event, missing, revision);
            if let Some(change) = change.filter(|_| shared.sends_vm_changes.get()) {
                shared.queue_vm_change(change);
            }
        }
        missing.expire(shared);
        shared.vm_revisions.borrow_mut().record_watched(revision);
        if !watch.events.is_empty() {
            shared.update_candidates();
            sleep(batch_time(shared)).await;
        }
    }
}

/// applies one event of a watch response that covers all changes up to `revision`; returns the
/// change unless a peer has already sent a later one of the VM
fn apply_event<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    event: &Event,
    missing: &mut Missing,
    revision: u64,
) -> Option<Change> {
    let name = &event.object.name;
    let vm = if event.deleted {
        None
    } else {
        match store.vm(name, &event.object.spec) {
            Ok(vm) => Some(vm),
            Err(cause) => {
                tracing::debug!(event = "vm_unreadable", vm = name, cause);
                None
            }
        }
    };
    let mut vms = shared.vms.borrow_mut();
    let Some(vm) = vm else {
        remove(&mut vms, name);
        return Some(Change::Removed {
            id: name.clone(),
            revision,
        });
    };
    missing.vms.remove(name);
    if shared
        .vm_revisions
        .borrow()
        .supersedes(name, event.object.revision)
    {
        return None;
    }
    let previous = vms.insert(name.clone(), Rc::new(vm.clone()));
    log_listed(previous.as_deref(), &vm);
    Some(Change::Listed {
        vm,
        revision: event.object.revision,
    })
}

/// logs a VM that is new, has restarted or has changed its health
fn log_listed(previous: Option<&Vm>, vm: &Vm) {
    if previous.is_some_and(|previous| {
        previous.health == vm.health && previous.started_at_ms == vm.started_at_ms
    }) {
        return;
    }
    tracing::info!(
        event = "vm_listed",
        vm = vm.id,
        service = vm.service,
        zone = vm.zone,
        address = %vm.address,
        health = ?vm.health,
        reclaimable = vm.reclaimable,
    );
}

impl Missing {
    /// removes the VMs that have not registered again in time
    fn expire<D: Dialect>(&mut self, shared: &Shared<D>) {
        if self.until.is_none_or(|until| Instant::now() < until) {
            return;
        }
        self.until = None;
        if self.vms.is_empty() {
            return;
        }
        let mut vms = shared.vms.borrow_mut();
        for (id, vm) in self.vms.drain() {
            if vms.get(&id).is_some_and(|current| Rc::ptr_eq(current, &vm)) {
                remove(&mut vms, &id);
            }
        }
        drop(vms);
        shared.update_candidates();
    }
}
