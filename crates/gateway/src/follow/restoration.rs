use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::Departed;
use crate::model::Vm;

/// time after which the store has removed a restored entry whose VM is gone: VMs write about
/// every second, and three missed writes end an entry
const STALE_ENTRY_TIME: Duration = Duration::from_secs(5);

/// a set of VMs and the time until which it is kept apart
#[derive(Debug, Default)]
struct Pending {
    until: Option<Instant>,
    vms: HashMap<String, Rc<Vm>>,
}

/// differences between the VMs and their entries while an outage or a restore of the store is
/// being made good
///
/// After an outage, entries of live VMs may have expired; after a restore, recent ones are missing
/// and removed ones are back. VMs write their entries again within seconds. Until then, missing
/// VMs are used further, and those whose entry had been removed before are not used.
#[derive(Debug, Default)]
pub(super) struct Restoration {
    missing: Pending,
    returned: Pending,
}

impl Restoration {
    /// begins to keep missing VMs until a time
    pub fn keep_missing(&mut self, until: Instant) {
        self.missing.until = Some(until);
    }

    /// takes the VMs that were removed before a restore, or have started again since the copy, out of the
    /// restored store's first list
    pub fn doubt_returned(
        &mut self,
        listed: &mut HashMap<String, Rc<Vm>>,
        previous: &HashMap<String, Rc<Vm>>,
        departed: &Departed,
        now: Instant,
    ) {
        self.returned.until = Some(now + STALE_ENTRY_TIME);
        let returned = listed.extract_if(|id, vm| {
            let known = previous.get(id);
            let is_older = known.is_some_and(|known| vm.started_at_ms < known.started_at_ms);
            is_older || departed.was_removed(vm)
        });
        self.returned.vms.extend(returned);
    }

    /// adds the missing VMs of a list that replaces the previous one, and takes out those that are
    /// still doubted
    pub fn amend(
        &mut self,
        listed: &mut HashMap<String, Rc<Vm>>,
        previous: HashMap<String, Rc<Vm>>,
    ) {
        listed.retain(|id, vm| {
            let returned = self.returned.vms.get(id);
            returned.is_none_or(|returned| returned.started_at_ms != vm.started_at_ms)
        });
        if self.missing.until.is_none() {
            return;
        }
        let missing = previous.into_iter();
        let missing = missing.filter(|(id, _)| !listed.contains_key(id));
        self.missing.vms.extend(missing);
        for (id, vm) in &self.missing.vms {
            listed.entry(id.clone()).or_insert_with(|| Rc::clone(vm));
        }
    }

    /// number of VMs that are kept although their entries are missing
    pub fn missing(&self) -> usize {
        self.missing.vms.len()
    }

    /// number of VMs that are not used although their entries are back
    pub fn returned(&self) -> usize {
        self.returned.vms.len()
    }

    /// ends the wait for a VM whose entry has been written or deleted
    pub fn settle(&mut self, id: &str) {
        self.missing.vms.remove(id);
        self.returned.vms.remove(id);
    }

    /// the VMs whose entries stayed away, and those whose entries stayed, once their time is over
    pub fn expire(&mut self, now: Instant) -> (Vec<Rc<Vm>>, Vec<Rc<Vm>>) {
        (self.missing.expire(now), self.returned.expire(now))
    }

    /// when [`Restoration::expire`] has to be called next
    pub fn expires_at(&self) -> Option<Instant> {
        let times = [self.missing.until, self.returned.until];
        times.into_iter().flatten().min()
    }
}

impl Pending {
    fn expire(&mut self, now: Instant) -> Vec<Rc<Vm>> {
        if self.until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.until = None;
        self.vms.drain().map(|(_, vm)| vm).collect()
    }
}
