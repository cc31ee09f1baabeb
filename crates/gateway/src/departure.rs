//! VMs that drain, close themselves for a time, or are gone.

use std::rc::Rc;

use tokio::time::Instant;

use crate::adapter::Dialect;
use crate::model::{Health, Vm};
use crate::shared::Shared;

impl<D: Dialect> Shared<D> {
    /// whether a VM may get a request now: it is listed as ready, has not closed itself, and
    /// its version is not stopped
    pub fn accepts_requests(&self, service: &str, id: &str) -> bool {
        let is_ready = |vm: &Rc<Vm>| vm.health == Health::Ready;
        let is_listed = self.vms.borrow().get(id).is_some_and(is_ready);
        let placement = self.placement.borrow();
        is_listed
            && !placement.is_closed(service, id, Instant::now())
            && !placement.is_stopped(service, id)
    }

    /// excludes a VM that drains from further requests; false if that was known
    pub fn start_drain(&self, vm: &Vm, cause: &str) -> bool {
        self.start_drain_of(&vm.id, vm.started_at_ms, cause)
    }

    /// as [`Shared::start_drain`], by the id of a VM that may not be listed yet, and the start of its
    /// process
    pub fn start_drain_of(&self, id: &str, started_at_ms: u64, cause: &str) -> bool {
        let mut departed = self.departed.borrow_mut();
        if departed.is_draining(id, started_at_ms) {
            return false;
        }
        departed.record_draining(id, started_at_ms, Instant::now());
        drop(departed);
        tracing::info!(event = "vm_draining", vm = id, cause);
        let mut vms = self.vms.borrow_mut();
        let listed = vms.get_mut(id);
        let Some(vm) = listed.filter(|vm| vm.started_at_ms == started_at_ms) else {
            return true;
        };
        Rc::make_mut(vm).health = Health::Draining;
        let address = vm.address;
        drop(vms);
        self.pool.close_idle(address);
        self.update_candidates();
        true
    }

    /// removes a VM until the object API lists it again
    pub fn drop_vm(&self, id: &str, cause: &str) {
        if let Some(vm) = self.vms.borrow_mut().remove(id) {
            tracing::info!(event = "vm_dropped", vm = id, address = %vm.address, cause);
        }
        self.update_candidates();
    }
}
