//! A VM of the table and its state.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use xxhash_rust::xxh3::xxh3_64;

use super::state::VmState;
use super::stats::Stats;
use super::{Tier, Vm};

/// a VM as described by one VM list; the shared state outlives that list
#[derive(Debug)]
pub(super) struct Endpoint {
    /// the VM
    pub vm: Vm,
    /// its distance
    pub tier: Tier,
    /// hash of its name, for rendezvous hashing
    pub seed: u64,
    /// statistics of its service
    pub stats: Arc<Stats>,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    draining: AtomicBool,
    state: Mutex<VmState>,
}

impl Endpoint {
    /// creates an endpoint with the initial state
    pub fn new(vm: Vm, tier: Tier, stats: Arc<Stats>) -> Endpoint {
        let shared = Shared {
            draining: AtomicBool::new(false),
            state: Mutex::new(VmState::new(vm.slots)),
        };
        Endpoint {
            seed: xxh3_64(vm.name.as_bytes()),
            vm,
            tier,
            stats,
            shared: Arc::new(shared),
        }
    }

    /// the endpoint as described by a newer VM list, with the same state
    pub fn updated(&self, vm: Vm, tier: Tier, stats: Arc<Stats>) -> Endpoint {
        Endpoint {
            seed: self.seed,
            vm,
            tier,
            stats,
            shared: Arc::clone(&self.shared),
        }
    }

    /// locks the state
    pub fn lock(&self) -> MutexGuard<'_, VmState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// whether the VM is draining
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(Ordering::Relaxed)
    }

    /// records whether the VM is draining
    pub fn set_draining(&self, draining: bool) {
        self.shared.draining.store(draining, Ordering::Relaxed);
    }
}
