//! Exchange of changes of loads between two reports.
//!
//! In deployments with remote zones, the first daemon of each zone collects the changes of its zone. The others
//! send it theirs several times a second, and are answered with those of all other daemons since the
//! last time. The first daemons send each other the changes of their zones. While one of them does not
//! respond, the reports suffice, as without changes.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use macro_rules_attribute::apply;
use peer::Node;
use rand::Rng;
use route::placement::{Change, Changes};
use schema::message;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::state::Peers;
use super::topology::Topology;
use crate::adapter::Dialect;
use crate::shared::Shared;

/// method for changes of loads
pub(super) const CHANGES_METHOD: &str = "gateway_changes";

/// shortest interval between two messages of a daemon: about the time of a prefill
const MIN_INTERVAL: Duration = Duration::from_millis(120);

/// messages a second that the first daemon of a zone answers
const MAX_ANSWERS_PER_SECOND: f64 = 100.0;

/// interval for each VM, of which a message may contain a change: it bounds the bytes a second
const INTERVAL_PER_VM: Duration = Duration::from_micros(1500);

/// time limit of a message, after which its changes are lost
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// batches that are kept for daemons that have not asked for them
const MAX_BATCHES: usize = 512;

/// changes of the loads that a daemon, or a zone, has sent to VMs
#[apply(message!)]
#[derive(Default)]
pub struct LoadChanges {
    /// name of the sender
    pub from: String,
    /// its zone
    pub zone: String,
    /// the changes since its last message
    pub changes: Changes,
}

/// changes that were received and have to be passed on
#[derive(Debug, Default)]
pub struct Log {
    batches: VecDeque<(String, Vec<Change>)>,
    /// number of the first of them
    first: u64,
    /// number of the first batch that a daemon has not received
    next: HashMap<String, u64>,
    /// changes of this zone that the others have not received
    of_zone: Vec<Change>,
}

impl Log {
    /// adds changes of a daemon of this zone
    pub fn add_of_zone(&mut self, from: &str, changes: &[Change]) {
        self.of_zone.extend_from_slice(changes);
        self.add(from, changes);
    }

    /// adds changes of a daemon, or of another zone
    pub fn add(&mut self, from: &str, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        if self.batches.len() >= MAX_BATCHES {
            self.batches.pop_front();
            self.first += 1;
        }
        self.batches.push_back((from.to_owned(), changes.to_vec()));
    }

    /// the changes of all others since a daemon asked last; none the first time
    pub fn take(&mut self, receiver: &str) -> Changes {
        let end = self.first + self.batches.len() as u64;
        let next = self.next.insert(receiver.to_owned(), end);
        let from = next.unwrap_or(end).max(self.first) - self.first;
        let new = self.batches.iter().skip(from as usize);
        let of_others = new.filter(|(from, _)| from != receiver);
        sums(of_others.flat_map(|(_, changes)| changes))
    }

    /// the changes of this zone since the last call
    pub fn take_of_zone(&mut self) -> Changes {
        sums(std::mem::take(&mut self.of_zone).iter())
    }
}

/// changes added up by VM
fn sums<'a>(changes: impl Iterator<Item = &'a Change>) -> Changes {
    let mut sums: HashMap<u32, i32> = HashMap::new();
    for change in changes {
        let sum = sums.entry(change.vm).or_default();
        *sum = sum.saturating_add(change.units);
    }
    let sums = sums.into_iter().filter(|(_, units)| *units != 0);
    Changes(sums.map(|(vm, units)| Change { vm, units }).collect())
}

/// interval between two messages of a daemon
fn interval(topology: &Topology, vms: usize) -> Duration {
    let of_zone = topology.group_peers().len() as f64 / MAX_ANSWERS_PER_SECOND;
    let of_vms = INTERVAL_PER_VM.mul_f64(vms as f64);
    MIN_INTERVAL
        .max(Duration::from_secs_f64(of_zone))
        .max(of_vms)
}

/// sends this daemon's changes, and receives those of its peers, for as long as the process runs
pub(super) async fn exchange_changes<D: Dialect + 'static>(
    shared: &Rc<Shared<D>>,
    peers: &Rc<Peers>,
    node: &Node,
) {
    loop {
        let topology = peers.topology();
        let vms = shared.vms.borrow().len();
        let jitter = rand::rng().random_range(0.9..1.1);
        sleep(interval(&topology, vms).mul_f64(jitter)).await;
        if !topology.has_remote_zones() {
            continue;
        }
        let own = shared.placement.borrow_mut().take_changes();
        let message = LoadChanges {
            from: shared.settings.name.clone(),
            zone: shared.settings.zone.clone(),
            changes: Changes(own),
        };
        if !topology.forwards_sums() {
            if let Some(first) = topology.group_peers().first() {
                send(shared, node, first, message);
            }
            continue;
        }
        let mut log = peers.changes.borrow_mut();
        log.add_of_zone(&message.from, &message.changes.0);
        let changes = log.take_of_zone();
        drop(log);
        for first in topology.remote_watchers() {
            let message = LoadChanges {
                changes: changes.clone(),
                ..message.clone()
            };
            send(shared, node, first, message);
        }
    }
}

/// sends changes to a daemon, and applies those that it answers with
fn send<D: Dialect + 'static>(
    shared: &Rc<Shared<D>>,
    node: &Node,
    name: &str,
    message: LoadChanges,
) {
    let members = node.members();
    let Some(member) = members.iter().find(|member| member.vm == name).cloned() else {
        return;
    };
    let (shared, node) = (Rc::clone(shared), node.clone());
    spawn_local(async move {
        let call = node.call::<LoadChanges, Option<Changes>>(
            &member,
            CHANGES_METHOD,
            &message,
            CALL_TIMEOUT,
        );
        match call.await {
            Ok(Some(changes)) => {
                let mut placement = shared.placement.borrow_mut();
                placement.add_peer_changes(changes.0, true, Instant::now());
            }
            Ok(None) => {}
            Err(error) => {
                tracing::debug!(event = "changes_not_sent", peer = member.vm, %error);
            }
        }
    });
}

impl Peers {
    /// applies changes of a daemon of this zone, or of another zone; returns those of all others if this
    /// daemon collects them for the sender
    pub(super) fn receive_changes<D: Dialect>(
        &self,
        shared: &Shared<D>,
        message: LoadChanges,
    ) -> Option<Changes> {
        if !self.topology().forwards_sums() {
            return None;
        }
        let is_remote = message.zone != shared.settings.zone;
        let LoadChanges { from, changes, .. } = message;
        let mut log = self.changes.borrow_mut();
        let answer = if is_remote {
            log.add(&from, &changes.0);
            None
        } else {
            log.add_of_zone(&from, &changes.0);
            Some(log.take(&from))
        };
        let mut placement = shared.placement.borrow_mut();
        placement.add_peer_changes(changes.0, is_remote, Instant::now());
        answer
    }
}
