use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;

use super::config::apply_if_newer;
use crate::adapter::{Dialect, Objects};
use crate::model::Vm;
use crate::relay::{ConfigUpdate, Reply, RolloutUpdate, VmChange, VmUpdate};
use crate::shared::Shared;

/// applies another daemon's reply to a call that was sent at a time, by [`Shared::clock`]; false
/// if its state is older than this daemon's
pub fn apply_reply<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    reply: Reply,
    requested_at: Instant,
) -> bool {
    shared.generation.observe(Some(reply.generation));
    shared.relay.set_generation(reply.generation);
    // the reply was written at this time at the earliest
    let written_at = requested_at + Duration::from_millis(reply.held_ms);
    if let Some(config) = &reply.config {
        apply_config(shared, store, config);
    }
    if let Some(confirmation) = &reply.confirmation {
        shared.apply_confirmation(confirmation, written_at);
    }
    if let Some(revision) = reply.config_revision {
        shared.relay.set_config_revision(revision);
    }
    if let Some(update) = reply.rollouts {
        apply_rollouts(shared, update);
    }
    reply
        .vms
        .is_some_and(|update| apply_vms(shared, update, written_at))
}

fn apply_config<D: Dialect, S: Objects>(shared: &Shared<D>, store: &S, config: &ConfigUpdate) {
    match config.body.decode::<Value>() {
        Ok(spec) => apply_if_newer(shared, store, &spec, config.generation, &config.body),
        Err(cause) => tracing::error!(event = "config_not_decoded", cause),
    }
}

fn apply_rollouts<D: Dialect>(shared: &Shared<D>, update: RolloutUpdate) {
    let is_restored = update.revision.generation < shared.generation.current();
    if is_restored || Some(update.revision) < shared.relay.rollouts_revision() {
        return;
    }
    shared.relay.confirm_rollouts(update.revision);
    if let Some(entries) = update.entries {
        shared.set_rollouts(entries);
    }
}

fn apply_vms<D: Dialect>(shared: &Shared<D>, update: VmUpdate, written_at: Instant) -> bool {
    let is_restored = update.revision.generation < shared.generation.current();
    if is_restored || Some(update.revision) < shared.relay.vm_revision() {
        return false;
    }
    let complete = match &update.change {
        VmChange::Complete(encoded) => match encoded.decode::<Vec<Vm>>() {
            Ok(vms) => Some(vms),
            Err(cause) => {
                tracing::error!(event = "vms_not_decoded", cause);
                return false;
            }
        },
        VmChange::None | VmChange::Some { .. } => None,
    };
    // before the update of the candidates, which records at which revision a version was first listed
    let age = Duration::from_millis(update.age_ms);
    if let Some(at) = written_at.checked_sub(age) {
        shared.relay.confirm_vms(update.revision, at);
    }
    if let VmChange::Some { listed, removed } = update.change {
        for id in removed {
            shared.remove_vm(&id);
        }
        for vm in listed {
            shared.insert_vm(&Rc::new(shared.with_departure(vm)));
        }
        shared.update_candidates();
    }
    if let Some(vms) = complete {
        replace_vms(shared, vms);
    }
    shared.followed_vms.set(Some(update.position));
    if shared.listed_at.get().is_none() {
        shared.listed_at.set(Some(Instant::now()));
    }
    true
}

fn replace_vms<D: Dialect>(shared: &Shared<D>, vms: Vec<Vm>) {
    let vms: HashMap<String, Rc<Vm>> = vms
        .into_iter()
        .map(|vm| (vm.id.clone(), Rc::new(shared.with_departure(vm))))
        .collect();
    let gone: Vec<String> = {
        let current = shared.vms.borrow();
        let gone = current.keys().filter(|id| !vms.contains_key(*id));
        gone.cloned().collect()
    };
    tracing::info!(event = "vms_received", vms = vms.len(), gone = gone.len());
    for id in gone {
        shared.remove_vm(&id);
    }
    for vm in vms.values() {
        shared.insert_vm(vm);
    }
    shared.update_candidates();
}
