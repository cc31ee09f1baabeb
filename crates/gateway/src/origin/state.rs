use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;

use route::origin::{Batch, MAX_TIME, Origin, Table, stream_id};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::adapter::Dialect;
use crate::clock::millis;
use crate::model::Vm;
use crate::peers::Topology;
use crate::shared::Shared;

/// time for which a record is kept beyond the caller's deadline: the error of the time of day
const SLACK: Duration = Duration::from_secs(3);

/// time before the stated start of a VM's process from which on its streams may have begun there: the
/// error between its time of day and this daemon's
const START_ERROR: Duration = Duration::from_secs(3);

/// a stream that began, or went on, at a VM
struct Begun {
    id: u64,
    vm: String,
    version: String,
    at_ms: u64,
    until_ms: u64,
}

/// records of streams at this daemon
#[derive(Default)]
pub struct State {
    /// the records
    pub table: RefCell<Table>,
    /// this daemon's own streams, oldest first
    begun: RefCell<VecDeque<Begun>>,
    /// which daemons collect the records; none before this one has joined them
    pub(super) topology: RefCell<Option<Topology>>,
    /// notified when there are records to send
    pub(super) added: Notify,
    /// notified when the records in the object API are to be read again, and when they have been read
    pub(super) read_wanted: Notify,
    pub(super) read_done: Notify,
    /// time of the last read
    pub(super) read_at: Cell<Option<Instant>>,
}

impl State {
    /// sets the daemons that collect the records
    pub fn set_topology(&self, topology: &Topology) {
        *self.topology.borrow_mut() = Some(topology.clone());
    }

    /// name of this daemon's group; none before it has joined the other daemons
    pub(super) fn group(&self) -> Option<String> {
        let topology = self.topology.borrow();
        topology
            .as_ref()
            .map(|topology| topology.group().to_owned())
    }
}

impl<D: Dialect> Shared<D> {
    /// records that a stream began at a VM, or goes on there
    ///
    /// `left` is the time for which its caller may come back.
    pub fn record_origin(&self, first_attempt: &str, origin: &Origin, vm: &Vm, left: Duration) {
        let now_ms = self.wall_clock.now_ms();
        let until_ms = now_ms.saturating_add(millis((left + SLACK).min(MAX_TIME)));
        let mut table = self.origins.table.borrow_mut();
        let id = stream_id(first_attempt);
        table.record(id, origin, until_ms.div_ceil(1000), now_ms / 1000);
        drop(table);
        let mut begun = self.origins.begun.borrow_mut();
        while begun.front().is_some_and(|first| first.until_ms < now_ms) {
            begun.pop_front();
        }
        begun.push_back(Begun {
            id,
            vm: vm.id.clone(),
            version: vm.version.clone(),
            at_ms: now_ms,
            until_ms,
        });
        drop(begun);
        self.origins.added.notify_one();
    }

    /// makes the origin of streams uncertain that began at a VM while this daemon had its entry from before
    /// a restart with another version
    pub fn doubt_origins(&self, vm: &Vm) {
        let from_ms = vm.started_at_ms.saturating_sub(millis(START_ERROR));
        let begun = self.origins.begun.borrow();
        let doubted = begun.iter().filter(|begun| {
            begun.at_ms >= from_ms && begun.vm == vm.id && begun.version != vm.version
        });
        let ids: Vec<u64> = doubted.map(|begun| begun.id).collect();
        drop(begun);
        if ids.is_empty() {
            return;
        }
        tracing::info!(
            event = "origins_doubted",
            vm = vm.id,
            version = vm.version,
            streams = ids.len(),
        );
        let mut table = self.origins.table.borrow_mut();
        for id in ids {
            table.doubt(id);
        }
        drop(table);
        self.origins.added.notify_one();
    }

    /// makes the origin of one of this daemon's streams uncertain
    pub fn doubt_origin(&self, id: u64) {
        self.origins.table.borrow_mut().doubt(id);
        self.origins.added.notify_one();
    }

    /// adds the records of another daemon
    pub fn merge_origins(&self, batch: &Batch) {
        let now_s = self.wall_clock.now_ms() / 1000;
        self.origins.table.borrow_mut().merge(batch, now_s);
    }

    /// where a stream began, as far as this daemon knows
    pub fn known_origin(&self, id: u64) -> Option<Origin> {
        let now_s = self.wall_clock.now_ms() / 1000;
        let table = self.origins.table.borrow();
        table.find(id, now_s).cloned()
    }
}

impl Vm {
    /// origin of a stream whose first event it sent
    pub fn origin(&self) -> Origin {
        Origin {
            service: self.service.clone(),
            version: self.version.clone(),
        }
    }
}
