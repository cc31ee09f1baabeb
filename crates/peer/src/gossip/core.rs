use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use schema::member::{Demand, Fact, Member, State};
use tokio::time::Instant;

use super::exchange::Link;
use super::report::{Received, Reporter};
use super::{Answer, Call, Message, Target};
use crate::Notice;
use crate::fact::{Key, Ledger, Queue, Subject};
use crate::member::timing::{JOIN_PERIOD, PAUSE_THRESHOLD, REJOIN_PERIOD, STARTUP_TIME, jittered};
use crate::member::{Prober, Table};

/// wait for the answer to a probe
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// wait for the answer to any other call
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// time between two clean-ups
const PRUNE: Duration = Duration::from_secs(5);

/// news that could not be passed on for so long are left to the comparisons
const QUEUE_KEPT: Duration = Duration::from_secs(30);

/// why a call was made
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Probe(u64),
    Join,
    Sync(u64),
    Exchange(u64),
    Tell,
}

/// the state of one daemon in the protocol
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
    pub(super) links: BTreeMap<String, Link>,
    pub(super) due: Due,
    pub(super) syncs: u32,
    pub(super) started: Instant,
    pub(super) notices: Vec<Notice>,
    calls: Vec<Call>,
    open: BTreeMap<u64, Purpose>,
    last_ticket: u64,
    last_tick: Instant,
    version: u64,
}

/// when the periodic work is due next
pub(super) struct Due {
    pub join: Instant,
    pub sync: Instant,
    pub prune: Instant,
    pub queue: Instant,
    pub refresh: Instant,
    pub load: Instant,
    pub report: Instant,
    pub sum: Instant,
}

impl Core {
    /// the state of a daemon that starts; `seed` feeds its random choices
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
            links: BTreeMap::new(),
            due: Due {
                join: now,
                sync: now + Duration::from_secs(1),
                prune: now + PRUNE,
                queue: now + QUEUE_KEPT,
                refresh: now,
                load: now,
                report: now,
                sum: now,
            },
            syncs: 0,
            started: now,
            notices: Vec::new(),
            calls: Vec::new(),
            open: BTreeMap::new(),
            last_ticket: 0,
            last_tick: now,
            version: 0,
        }
    }

    /// does what is due; to be called every [`crate::member::timing::TICK`]
    pub fn tick(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if pause >= PAUSE_THRESHOLD {
            self.prober.extend_deadlines(pause);
        }
        if self.has_left() {
            return;
        }
        let actions = self.prober.poll(&self.table, now, &mut self.random);
        self.follow(&actions, now);
        self.join_when_due(now);
        self.sync_when_due(now);
        self.emit_pending(now);
        self.report_when_due(now);
        self.sum_when_due(now);
        self.exchange_when_due(now);
        self.push_urgent(now);
        if now >= self.due.prune {
            self.due.prune = now + PRUNE;
            self.table.prune(now);
            self.ledger.prune(now);
        }
        if now >= self.due.queue {
            self.due.queue = now + QUEUE_KEPT;
            self.queue.prune();
        }
    }

    fn join_when_due(&mut self, now: Instant) {
        if now < self.due.join {
            return;
        }
        let young = now.saturating_duration_since(self.started) < STARTUP_TIME;
        let period = if young { JOIN_PERIOD } else { REJOIN_PERIOD };
        self.due.join = now + jittered(period, &mut self.random);
        let absent = self.absent();
        if absent.is_empty() {
            return;
        }
        let place = self.random.random_range(0..absent.len());
        self.join(absent[place].clone(), now);
    }

    /// the calls to make, each once
    pub fn calls(&mut self) -> Vec<Call> {
        std::mem::take(&mut self.calls)
    }

    /// the facts learned since the last time, each once
    pub fn notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// goes up when the members may have changed
    pub fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn touch(&mut self) {
        self.version += 1;
    }

    pub(super) fn has_left(&self) -> bool {
        self.table.local_record().member.state == State::Gone
    }

    pub(super) fn send(&mut self, to: Target, message: Message, purpose: Purpose) {
        self.last_ticket += 1;
        let timeout = match message {
            Message::Probe(_) => PROBE_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        self.open.insert(self.last_ticket, purpose);
        self.calls.push(Call {
            ticket: self.last_ticket,
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

    /// a call was answered, or failed with `None`
    pub fn answered(&mut self, ticket: u64, answer: Option<Answer>, now: Instant) {
        let Some(purpose) = self.open.remove(&ticket) else {
            return;
        };
        match (purpose, answer) {
            (Purpose::Probe(target), Some(Answer::Ack(ack))) => self.acked(target, &ack, now),
            (Purpose::Probe(target), None) => self.prober.probe_failed(target, now),
            (Purpose::Join, Some(Answer::Ack(ack))) => self.joined(&ack, now),
            (Purpose::Sync(peer), Some(Answer::Difference(difference))) => {
                self.reconcile(peer, &difference, now);
            }
            (Purpose::Exchange(_), Some(Answer::Exchange(exchange))) => {
                self.receive(&exchange, now);
            }
            (Purpose::Exchange(peer), None) => self.exchange_failed(peer, now),
            _ => {}
        }
        self.push_urgent(now);
    }
}
