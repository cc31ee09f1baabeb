use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use super::pace::Pace;
use super::told::Change;
use crate::adapter::{Dialect, Event, Object, ObjectError, Objects};
use crate::model::Vm;
use crate::shared::Shared;

/// longest wait of a watch; bounds how long a silent connection goes unnoticed
const WAIT: Duration = Duration::from_millis(3000);

/// time after a change in which the daemon that tells others waits for further ones: VMs
/// come and go in groups, and a group reports within about so long
const GATHER: Duration = Duration::from_millis(120);

/// part of the time in which requests may still reach a VM that leaves for which the other
/// daemons wait: each answer of a watch is paid for, and they are told
const GATHER_PART: f64 = 0.35;

/// silence of the store after which entries may have lapsed without their VMs' fault
const OUTAGE: Duration = Duration::from_millis(2500);

/// VMs that are missing though they may live, until when they are waited for
struct Missing {
    until: Option<Instant>,
    vms: HashMap<String, Rc<Vm>>,
}

/// follows the upstream VMs for as long as the process runs
pub async fn vms<D: Dialect, S: Objects>(shared: Rc<Shared<D>>, store: Rc<S>) {
    let mut pace = Pace::default();
    let mut missing = Missing {
        until: None,
        vms: HashMap::new(),
    };
    let mut heard: Option<Instant> = None;
    loop {
        let failed = match store.list(S::VM_KIND).await {
            Ok(list) => {
                if pace.is_failing() {
                    tracing::info!(event = "store_regained", what = "vms");
                }
                pace.succeeded();
                let now = Instant::now();
                if heard.is_some_and(|heard| now > heard + OUTAGE) {
                    missing.until = Some(now + shared.settings.promises.relist);
                }
                replace(&shared, &*store, &list.objects, &mut missing);
                shared.told.borrow_mut().see(list.revision);
                watch(&shared, &*store, list.revision, &mut missing, &mut heard).await
            }
            Err(fault) => fault,
        };
        if !pace.is_failing() {
            tracing::warn!(event = "store_lost", what = "vms", cause = %failed);
        }
        missing.settle(&shared);
        pace.wait().await;
    }
}

/// takes in a whole list
fn replace<D: Dialect, S: Objects>(
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
    let known = std::mem::take(&mut *shared.vms.borrow_mut());
    if missing.until.is_some() {
        for (id, vm) in known {
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
    if shared.listed.get().is_none() {
        shared.listed.set(Some(Instant::now()));
    }
    shared.list_board();
}

/// time after a change in which further ones are waited for
fn gather<D: Dialect>(shared: &Shared<D>) -> Duration {
    if shared.tells_vms.get() {
        GATHER
    } else {
        shared.settings.promises.drain.mul_f64(GATHER_PART)
    }
}

/// takes in changes of VMs that another daemon tells
pub fn hear<D: Dialect>(shared: &Shared<D>, changes: Vec<Change>) {
    let mut is_news = false;
    for change in changes {
        if !shared.told.borrow_mut().takes(&change) {
            continue;
        }
        is_news = true;
        let mut vms = shared.vms.borrow_mut();
        match change {
            Change::Listed { vm, .. } => {
                let known = vms.insert(vm.id.clone(), Rc::new(vm.clone()));
                note(known.as_deref(), &vm);
            }
            Change::Gone { id, .. } => remove(&mut vms, &id),
        }
    }
    if is_news {
        shared.list_board();
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
    heard: &mut Option<Instant>,
) -> ObjectError {
    let mut revision = revision;
    loop {
        *heard = Some(Instant::now());
        let watching = store.watch(S::VM_KIND, revision, WAIT);
        let result = match missing.until {
            Some(until) => match timeout_at(until, watching).await {
                Ok(result) => result,
                Err(_) => {
                    missing.settle(shared);
                    continue;
                }
            },
            None => watching.await,
        };
        let watch = match result {
            Ok(watch) => watch,
            Err(fault) => return fault,
        };
        revision = revision.max(watch.revision);
        for event in &watch.events {
            let change = take(shared, store, event, missing, revision);
            if let Some(change) = change.filter(|_| shared.tells_vms.get()) {
                shared.tell_vm(change);
            }
        }
        missing.settle(shared);
        shared.told.borrow_mut().see(revision);
        if !watch.events.is_empty() {
            shared.list_board();
            sleep(gather(shared)).await;
        }
    }
}

/// takes in one change of an answer that shows all up to a revision; returns it unless the
/// VM is known to have changed again since
fn take<D: Dialect, S: Objects>(
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
        return Some(Change::Gone {
            id: name.clone(),
            revision,
        });
    };
    missing.vms.remove(name);
    if shared.told.borrow().outdates(name, event.object.revision) {
        return None;
    }
    let known = vms.insert(name.clone(), Rc::new(vm.clone()));
    note(known.as_deref(), &vm);
    Some(Change::Listed {
        vm,
        revision: event.object.revision,
    })
}

fn note(known: Option<&Vm>, vm: &Vm) {
    if known.is_some_and(|known| known.health == vm.health && known.born == vm.born) {
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
    /// takes VMs that did not come back in time to be gone
    fn settle<D: Dialect>(&mut self, shared: &Shared<D>) {
        if self.until.is_none_or(|until| Instant::now() < until) {
            return;
        }
        self.until = None;
        if self.vms.is_empty() {
            return;
        }
        let mut vms = shared.vms.borrow_mut();
        for (id, vm) in self.vms.drain() {
            if vms.get(&id).is_some_and(|known| Rc::ptr_eq(known, &vm)) {
                remove(&mut vms, &id);
            }
        }
        drop(vms);
        shared.list_board();
    }
}
