use std::cell::RefCell;
use std::time::Duration;

use route::origin::{Batch, Origin, Table, stream_id};
use tokio::sync::Notify;

use crate::adapter::Dialect;
use crate::model::Vm;
use crate::peers::Topology;
use crate::shared::Shared;

/// time for which a record is kept beyond the caller's deadline: the error of the time of day
const SLACK: Duration = Duration::from_secs(3);

/// records of streams at this daemon
#[derive(Default)]
pub struct State {
    /// the records
    pub table: RefCell<Table>,
    /// which daemons collect the records; none before this one has joined them
    pub(super) topology: RefCell<Option<Topology>>,
    /// notified when there are records to send
    pub(super) added: Notify,
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
    /// records that a stream began at a VM, or goes on at this daemon
    ///
    /// `left` is the time for which its caller may come back.
    pub fn record_origin(&self, first_attempt: &str, origin: &Origin, left: Duration) {
        let now_ms = self.wall_clock.now_ms();
        let until_ms = now_ms.saturating_add(millis(left + SLACK));
        let mut table = self.origins.table.borrow_mut();
        let id = stream_id(first_attempt);
        table.record(id, origin, until_ms.div_ceil(1000), now_ms / 1000);
        drop(table);
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

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
