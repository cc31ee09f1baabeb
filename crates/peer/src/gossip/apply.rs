use std::time::Duration;

use schema::member::{Ack, Check, Confirm, Fact, Item, News, Probe, Record, Revision, State};
use tokio::time::Instant;

use super::core::Purpose;
use super::{Core, Message, Target};
use crate::Publication;
use crate::fact::{Key, Merge as FactMerge, Peer, Priority, Subject, Update, timing};
use crate::member::timing::INDIRECT_PROBERS;
use crate::member::{Action, Merge};

/// how often the record of a member is sent to random members
const RECORD_RANDOM_SENDS: u8 = 2;
/// lifetime of a revision that was received as a number
const REVISION_LIFETIME: Duration = Duration::from_secs(600);

impl Core {
    /// applies updates; `source` is the instance that sent them
    pub(super) fn apply_news(&mut self, news: &News, source: u64, now: Instant) {
        for record in &news.records {
            self.apply_record(record, source, now);
        }
        for item in &news.items {
            self.apply_item(item, source, now);
        }
    }

    /// applies a record; false if a newer one is stored
    pub(super) fn apply_record(&mut self, record: &Record, source: u64, now: Instant) -> bool {
        let instance = record.member.instance;
        match self.table.merge(record, now) {
            Merge::Duplicate => {
                let source = self.peer(source);
                self.queue
                    .record_duplicate(&Subject::Member(instance), source);
            }
            Merge::Stale => {
                self.queue_record(instance, 1, 0);
                return false;
            }
            Merge::Refute => {
                self.table.refute(record.incarnation, now);
                self.announce(self.me.instance, 0);
            }
            Merge::Updated => self.handle_record_change(record, source, now),
        }
        true
    }

    fn handle_record_change(&mut self, record: &Record, source: u64, now: Instant) {
        let instance = record.member.instance;
        self.bump_version();
        if !self.table.is_local(record) {
            self.queue_record(instance, RECORD_RANDOM_SENDS, source);
            return;
        }
        if record.member.state == State::Gone {
            self.prober.remove(instance);
        } else if record.suspected {
            self.prober
                .add_remote_suspicion(instance, record.incarnation, now);
        } else {
            self.prober.clear_refuted(instance, record.incarnation);
            self.probe_same_address(record, now);
        }
        self.announce(instance, source);
    }

    /// probes other members with the control address of a new one: only one can be alive
    fn probe_same_address(&mut self, record: &Record, now: Instant) {
        let member = &record.member;
        let others: Vec<u64> = self
            .table
            .data_centre_peers()
            .map(|other| &other.member)
            .filter(|other| other.control == member.control && other.instance != member.instance)
            .map(|other| other.instance)
            .collect();
        for other_instance in others {
            let actions = self.prober.probe_now(other_instance, now);
            self.carry_out(&actions, now);
        }
    }

    /// pushes the record of a member, and queues it to be piggybacked on probes
    pub(super) fn announce(&mut self, instance: u64, source: u64) {
        self.queue_record(instance, RECORD_RANDOM_SENDS, source);
        self.urgent.push(Subject::Member(instance));
    }

    fn queue_record(&mut self, instance: u64, random_sends: u8, source: u64) {
        let Some(entry) = self.table.get(instance) else {
            return;
        };
        let local = self.table.is_local(&entry.record);
        let update = Update {
            subject: Subject::Member(instance),
            priority: if local {
                Priority::Member
            } else {
                Priority::Remote
            },
            bytes: size(&entry.record),
            random_sends,
        };
        let source = self.peer(source);
        self.queue.add(update, source);
    }

    /// a member as sender or receiver of updates
    pub(super) fn peer(&self, instance: u64) -> Peer {
        Peer {
            instance,
            is_successor: self.table.successor() == Some(instance),
        }
    }

    /// applies a fact
    pub(super) fn apply_item(&mut self, item: &Item, source: u64, now: Instant) {
        if item.origin == self.me.instance {
            self.record_duplicate_item(item, source);
            return;
        }
        match self.ledger.merge(item, now) {
            FactMerge::Updated => {}
            FactMerge::Duplicate => return self.record_duplicate_item(item, source),
            FactMerge::Stale => return,
        }
        if matches!(item.fact, Fact::Summary(_)) {
            self.bump_version();
        }
        self.publications.push(Publication {
            origin: item.origin,
            fact: item.fact.clone(),
        });
        self.queue_item(item, source);
    }

    fn record_duplicate_item(&mut self, item: &Item, source: u64) {
        let subject = Subject::Fact(Key::of(&item.fact, item.origin));
        let source = self.peer(source);
        self.queue.record_duplicate(&subject, source);
    }

    /// queues a fact to be piggybacked, and an urgent one to be pushed
    pub(super) fn queue_item(&mut self, item: &Item, source: u64) {
        let subject = Subject::Fact(Key::of(&item.fact, item.origin));
        let update = Update {
            subject: subject.clone(),
            priority: Priority::Fact,
            bytes: size(item),
            random_sends: timing::random_sends(&item.fact),
        };
        let source = self.peer(source);
        self.queue.add(update, source);
        if timing::is_urgent(&item.fact) {
            self.urgent.push(subject);
        }
    }

    /// applies a revision that was received as a number
    pub(super) fn apply_revision(&mut self, number: u64, source: u64, now: Instant) {
        if number <= self.ledger.revision() {
            return;
        }
        let item = Item {
            origin: source,
            counter: self.ledger.clock(),
            life_ms: u64::try_from(REVISION_LIFETIME.as_millis()).unwrap_or(u64::MAX),
            fact: Fact::Revision(Revision { number }),
        };
        self.apply_item(&item, source, now);
    }

    /// carries out the actions of the failure detector
    pub(super) fn carry_out(&mut self, actions: &[Action], now: Instant) {
        for action in actions {
            match *action {
                Action::Probe { target, suspected } => self.probe(target, suspected, now),
                Action::ProbeIndirectly { target, suspected } => {
                    self.request_indirect_probes(target, suspected)
                }
                Action::Confirm { requester, target } => self.confirm_probe(requester, target),
                Action::Suspect(target) => {
                    if self.table.mark_suspected(target, now) {
                        self.bump_version();
                        self.announce(target, 0);
                    }
                }
                Action::MarkGone(target) => self.mark_gone(target, now),
            }
        }
    }

    pub(super) fn mark_gone(&mut self, target: u64, now: Instant) {
        self.prober.remove(target);
        if self.table.mark_gone(target, now) {
            self.bump_version();
            self.announce(target, 0);
        }
    }

    pub(super) fn probe(&mut self, target: u64, suspected: Option<u64>, now: Instant) {
        let Some(to) = self.target(target) else {
            return;
        };
        let probe = Probe {
            from: self.me.instance,
            to: target,
            suspected,
            revision: self.ledger.revision(),
            news: self.piggyback(target, now),
        };
        self.send_call(to, Message::Probe(probe), Purpose::Probe(target));
    }

    fn request_indirect_probes(&mut self, target: u64, suspected: Option<u64>) {
        for peer in self.random_peers(INDIRECT_PROBERS, &[target]) {
            let check = Check {
                from: self.me.instance,
                target,
                suspected,
            };
            self.notify(peer, Message::Check(check));
        }
    }

    fn confirm_probe(&mut self, requester: u64, target: u64) {
        if let Some(entry) = self.table.get(target) {
            let record = entry.record.clone();
            self.notify(requester, Message::Confirm(Confirm { record }));
        }
    }

    pub(super) fn notify(&mut self, instance: u64, message: Message) {
        if let Some(to) = self.target(instance) {
            self.send_call(to, message, Purpose::OneWay);
        }
    }

    /// handles the response to a probe
    pub(super) fn handle_ack(&mut self, target: u64, ack: &Ack, now: Instant) {
        self.apply_news(&ack.news, ack.instance, now);
        self.apply_revision(ack.revision, ack.instance, now);
        if ack.instance != target {
            self.mark_gone(target, now);
            return;
        }
        let actions = self.prober.record_ack(target, ack.incarnation, now);
        self.carry_out(&actions, now);
        if ack.stranger {
            self.introduce(target);
        }
    }

    /// sends the record of this daemon to a member
    fn introduce(&mut self, instance: u64) {
        let records = vec![self.table.local_record().clone()];
        self.push_to(
            instance,
            News {
                records,
                items: Vec::new(),
            },
        );
    }

    /// probes the daemon at an address whose instance is unknown
    pub(super) fn send_join_probe(&mut self, control: String, now: Instant) {
        let mut news = self.piggyback(0, now);
        news.records.push(self.table.local_record().clone());
        let probe = Probe {
            from: self.me.instance,
            to: 0,
            suspected: None,
            revision: self.ledger.revision(),
            news,
        };
        let to = Target {
            instance: 0,
            control,
        };
        self.send_call(to, Message::Probe(probe), Purpose::Join);
    }

    /// handles the response of the daemon at a seed's or former member's address
    pub(super) fn handle_join_ack(&mut self, ack: &Ack, now: Instant) {
        self.apply_news(&ack.news, ack.instance, now);
        self.apply_revision(ack.revision, ack.instance, now);
        let Some(entry) = self.table.get(ack.instance) else {
            return;
        };
        if ack.instance == self.me.instance {
            return;
        }
        if self.table.is_local(&entry.record) {
            self.sync_with(ack.instance, true, now);
        } else {
            let data_centre = entry.record.member.data_centre.clone();
            self.start_exchange(ack.instance, &data_centre, now);
        }
    }
}

/// size of a value as JSON, bytes
pub(super) fn size(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |text| text.len())
}
