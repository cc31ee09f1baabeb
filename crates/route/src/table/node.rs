//! A VM of the view, with its state.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use xxhash_rust::xxh3::xxh3_64;

use super::live::Live;
use super::stats::Stats;
use super::{Tier, Vm};

/// a VM as one list shows it; the state outlives the list
#[derive(Debug)]
pub(super) struct Node {
    /// the VM
    pub vm: Vm,
    /// its distance
    pub tier: Tier,
    /// hash of its name, for rendezvous hashing
    pub seed: u64,
    /// statistics of its service
    pub stats: Arc<Stats>,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    leaving: AtomicBool,
    live: Mutex<Live>,
}

impl Node {
    /// returns a VM nothing is known of
    pub fn new(vm: Vm, tier: Tier, stats: Arc<Stats>) -> Node {
        let state = State {
            leaving: AtomicBool::new(false),
            live: Mutex::new(Live::new(vm.slots)),
        };
        Node {
            seed: xxh3_64(vm.name.as_bytes()),
            vm,
            tier,
            stats,
            state: Arc::new(state),
        }
    }

    /// returns the VM as a newer list shows it, with the state kept
    pub fn renewed(&self, vm: Vm, tier: Tier, stats: Arc<Stats>) -> Node {
        Node {
            seed: self.seed,
            vm,
            tier,
            stats,
            state: Arc::clone(&self.state),
        }
    }

    /// locks the state
    pub fn live(&self) -> MutexGuard<'_, Live> {
        self.state
            .live
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// tells whether the VM is known to be leaving
    pub fn is_leaving(&self) -> bool {
        self.state.leaving.load(Ordering::Relaxed)
    }

    /// records whether the VM is leaving
    pub fn set_leaving(&self, leaving: bool) {
        self.state.leaving.store(leaving, Ordering::Relaxed);
    }
}
