use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::model::Vm;

/// time for which a departure is remembered: VMs may finish their requests for minutes, and a
/// restored store is some seconds old
const RETENTION: Duration = Duration::from_secs(600);

/// how a VM departed
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// it drains, by its entry or by its own response
    Draining,
    /// its entry was removed
    Removed,
}

#[derive(Debug, Clone, Copy)]
struct Departure {
    started_at_ms: u64,
    kind: Kind,
    at: Instant,
}

/// VMs that are known to drain or to be gone, whatever an older list says
///
/// A VM that has started again under its id is another one.
#[derive(Debug, Default)]
pub struct Departed {
    by_id: HashMap<String, Departure>,
}

impl Departed {
    /// records that the VM with this id and start time drains
    pub fn record_draining(&mut self, id: &str, started_at_ms: u64, now: Instant) {
        self.record(id, started_at_ms, Kind::Draining, now);
    }

    /// records that a VM's entry was removed; a VM that drains is remembered as such
    pub fn record_removed(&mut self, vm: &Vm, now: Instant) {
        if !self.is_draining(&vm.id, vm.started_at_ms) {
            self.record(&vm.id, vm.started_at_ms, Kind::Removed, now);
        }
    }

    /// records that a VM has registered (again), so that its removal no longer counts
    pub fn record_listed(&mut self, vm: &Vm) {
        if self.was_removed(vm) {
            self.by_id.remove(&vm.id);
        }
    }

    /// whether the VM with this id and start time is known to drain
    pub fn is_draining(&self, id: &str, started_at_ms: u64) -> bool {
        self.find(id, started_at_ms) == Some(Kind::Draining)
    }

    /// whether the entry of a VM has been removed
    pub fn was_removed(&self, vm: &Vm) -> bool {
        self.find(&vm.id, vm.started_at_ms) == Some(Kind::Removed)
    }

    fn record(&mut self, id: &str, started_at_ms: u64, kind: Kind, now: Instant) {
        let departure = Departure {
            started_at_ms,
            kind,
            at: now,
        };
        self.by_id.insert(id.to_owned(), departure);
        self.by_id
            .retain(|_, departure| now < departure.at + RETENTION);
    }

    fn find(&self, id: &str, started_at_ms: u64) -> Option<Kind> {
        let departure = self.by_id.get(id)?;
        (departure.started_at_ms == started_at_ms).then_some(departure.kind)
    }
}
