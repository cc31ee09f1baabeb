use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use schema::member::{Demand, Fact, Member, State};
use tokio::time::Instant;

use super::exchange::ExchangeState;
use super::report::{Received, Reporter};
use super::{Call, Message, Response, Target};
use crate::Publication;
use crate::fact::{Key, Ledger, Queue, Subject};
use crate::member::timing::{JOIN_PERIOD, PAUSE_THRESHOLD, REJOIN_PERIOD, STARTUP_TIME, jittered};
use crate::member::{Prober, Table};

/// time limit for the response to a probe
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// time limit for the response to any other call
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// time between two removals of old members and facts
const PRUNE_PERIOD: Duration = Duration::from_secs(5);

/// time between two prunings of the queue; updates that were queued for longer are dropped and
/// left to the comparisons
const QUEUE_PRUNE_PERIOD: Duration = Duration::from_secs(30);

/// what a call in flight is for
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Probe(u64),
    Join,
    Sync(u64),
    Exchange(u64),
    OneWay,
}

/// protocol state of one daemon
pub struct Core {
    pub(super) table: Table,
    pub(super) prober: Prober,
    pub(super) ledger: Ledger,
    pub(super) queue: Queue,
    pub(super) random: StdRng,
    pub(super) me: Member,
    pub(super) seeds: Vec<String>,
    pub(super) urgent: Vec<Subject>,
    pub(super) pending: BTreeMap<Key, Fact>,
    pub(super) demand: Demand,
    pub(super) reports: BTreeMap<Reporter, Received>,
    pub(super) exchanges: BTreeMap<String, ExchangeState>,
    pub(super) due: Due,
    pub(super) sync_count: u32,
    pub(super) started: Instant,
    pub(super) publications: Vec<Publication>,
    calls: Vec<Call>,
    in_flight: BTreeMap<u64, Purpose>,
    last_call_id: u64,
    last_tick: Instant,
    version: u64,
}

/// next times of the periodic work
pub(super) struct Due {
    pub join: Instant,
    pub sync: Instant,
    pub prune: Instant,
    pub queue: Instant,
    pub refresh: Instant,
    pub load: Instant,
    pub report: Instant,
    pub summary: Instant,
}

impl Core {
    /// the state of a daemon that starts; `seed` is that of its random numbers
    pub fn new(me: Member, seeds: &[String], seed: u64, now: Instant) -> Core {
        let mut random = StdRng::seed_from_u64(seed);
        Core {
            table: Table::new(me.clone(), now),
            prober: Prober::new(now, &mut random),
            ledger: Ledger::default(),
            queue: Queue::default(),
            random,
            me,
            seeds: seeds.to_vec(),
            urgent: Vec::new(),
            pending: BTreeMap::new(),
            demand: Demand {
                entries: Vec::new(),
            },
            reports: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            due: Due {
                join: now,
                sync: now + Duration::from_secs(1),
                prune: now + PRUNE_PERIOD,
                queue: now + QUEUE_PRUNE_PERIOD,
                refresh: now,
                load: now,
                report: now,
                summary: now,
            },
            sync_count: 0,
            started: now,
            publications: Vec::new(),
            calls: Vec::new(),
            in_flight: BTreeMap::new(),
            last_call_id: 0,
            last_tick: now,
            version: 0,
        }
    }

    /// does the work that is due; to be called every [`crate::member::timing::TICK`]
    pub fn tick(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if pause >= PAUSE_THRESHOLD {
            self.prober.extend_deadlines(pause);
        }
        if self.has_quit() {
            return;
        }
        let actions = self.prober.poll(&self.table, now, &mut self.random);
        self.carry_out(&actions, now);
        self.join_if_due(now);
        self.sync_if_due(now);
        self.publish_due(now);
        self.report_if_due(now);
        self.publish_summary_if_due(now);
        self.exchange_if_due(now);
        self.push_urgent(now);
        if now >= self.due.prune {
            self.due.prune = now + PRUNE_PERIOD;
            self.table.prune(now);
            self.ledger.prune(now);
        }
        if now >= self.due.queue {
            self.due.queue = now + QUEUE_PRUNE_PERIOD;
            self.queue.prune();
        }
    }

    fn join_if_due(&mut self, now: Instant) {
        if now < self.due.join {
            return;
        }
        let is_starting = now.saturating_duration_since(self.started) < STARTUP_TIME;
        let period = if is_starting {
            JOIN_PERIOD
        } else {
            REJOIN_PERIOD
        };
        self.due.join = now + jittered(period, &mut self.random);
        let addresses = self.unoccupied_addresses();
        if addresses.is_empty() {
            return;
        }
        let index = self.random.random_range(0..addresses.len());
        self.send_join_probe(addresses[index].clone(), now);
    }

    /// takes the calls to make
    pub fn take_calls(&mut self) -> Vec<Call> {
        std::mem::take(&mut self.calls)
    }

    /// takes the facts received since the last time
    pub fn take_publications(&mut self) -> Vec<Publication> {
        std::mem::take(&mut self.publications)
    }

    /// increases whenever the members may have changed
    pub fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn bump_version(&mut self) {
        self.version += 1;
    }

    pub(super) fn has_quit(&self) -> bool {
        self.table.local_record().member.state == State::Gone
    }

    pub(super) fn send_call(&mut self, to: Target, message: Message, purpose: Purpose) {
        self.last_call_id += 1;
        let timeout = match message {
            Message::Probe(_) => PROBE_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        self.in_flight.insert(self.last_call_id, purpose);
        self.calls.push(Call {
            id: self.last_call_id,
            to,
            message,
            timeout,
        });
    }

    pub(super) fn target(&self, instance: u64) -> Option<Target> {
        let entry = self.table.get(instance)?;
        Some(Target {
            instance,
            control: entry.record.member.control.clone(),
        })
    }

    /// a call got its response, or failed (`None`)
    pub fn complete_call(&mut self, call_id: u64, response: Option<Response>, now: Instant) {
        let Some(purpose) = self.in_flight.remove(&call_id) else {
            return;
        };
        match (purpose, response) {
            (Purpose::Probe(target), Some(Response::Ack(ack))) => {
                self.handle_ack(target, &ack, now)
            }
            (Purpose::Probe(target), None) => self.prober.probe_failed(target, now),
            (Purpose::Join, Some(Response::Ack(ack))) => self.handle_join_ack(&ack, now),
            (Purpose::Sync(peer), Some(Response::Difference(difference))) => {
                self.reconcile(peer, &difference, now);
            }
            (Purpose::Exchange(_), Some(Response::Exchange(exchange))) => {
                self.apply_exchange(&exchange, now);
            }
            (Purpose::Exchange(peer), None) => self.handle_exchange_failure(peer, now),
            _ => {}
        }
        self.push_urgent(now);
    }
}
