use std::time::Duration;

use schema::member::{Ack, Check, Confirm, Fact, Item, News, Probe, Record, Revision, State};
use tokio::time::Instant;

use super::core::Purpose;
use super::{Core, Message, Target};
use crate::Notice;
use crate::fact::{Key, Merge as FactMerge, Peer, Priority, Subject, Update, timing};
use crate::member::timing::INDIRECT_PROBERS;
use crate::member::{Action, Merge};

/// how often a claim about a member is passed on to random members
const RECORD_REPEATS: u8 = 2;
/// life of a revision that was learned as a number
const REVISION_LIFETIME: Duration = Duration::from_secs(600);

impl Core {
    /// takes over news; `source` is the instance that told them
    pub(super) fn learn(&mut self, news: &News, source: u64, now: Instant) {
        for record in &news.records {
            self.learn_record(record, source, now);
        }
        for item in &news.items {
            self.learn_item(item, source, now);
        }
    }

    /// takes over a claim about a member; false if a later one is held
    pub(super) fn learn_record(&mut self, record: &Record, source: u64, now: Instant) -> bool {
        let instance = record.member.instance;
        match self.table.merge(record, now) {
            Merge::Duplicate => {
                let source = self.neighbour(source);
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
            Merge::Updated => self.record_changed(record, source, now),
        }
        true
    }

    fn record_changed(&mut self, record: &Record, source: u64, now: Instant) {
        let instance = record.member.instance;
        self.touch();
        if !self.table.is_local(record) {
            self.queue_record(instance, RECORD_REPEATS, source);
            return;
        }
        if record.member.state == State::Gone {
            self.prober.remove(instance);
        } else if record.suspected {
            self.prober
                .add_remote_suspicion(instance, record.incarnation, now);
        } else {
            self.prober.clear_refuted(instance, record.incarnation);
            self.question_namesakes(record, now);
        }
        self.announce(instance, source);
    }

    /// probes members at the address of a new one: only one of them can be alive
    fn question_namesakes(&mut self, record: &Record, now: Instant) {
        let member = &record.member;
        let namesakes: Vec<u64> = self
            .table
            .data_centre_peers()
            .map(|other| &other.member)
            .filter(|other| other.control == member.control && other.instance != member.instance)
            .map(|other| other.instance)
            .collect();
        for namesake in namesakes {
            let actions = self.prober.probe_now(namesake, now);
            self.follow(&actions, now);
        }
    }

    /// pushes the claim about a member, and passes it on with probes too
    pub(super) fn announce(&mut self, instance: u64, source: u64) {
        self.queue_record(instance, RECORD_REPEATS, source);
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
        let source = self.neighbour(source);
        self.queue.add(update, source);
    }

    /// what a member is to this daemon
    pub(super) fn neighbour(&self, instance: u64) -> Peer {
        Peer {
            instance,
            is_successor: self.table.successor() == Some(instance),
        }
    }

    /// takes over a fact
    pub(super) fn learn_item(&mut self, item: &Item, source: u64, now: Instant) {
        if item.origin == self.me.instance {
            self.heard_item(item, source);
            return;
        }
        match self.ledger.merge(item, now) {
            FactMerge::Updated => {}
            FactMerge::Duplicate => return self.heard_item(item, source),
            FactMerge::Stale => return,
        }
        if matches!(item.fact, Fact::Summary(_)) {
            self.touch();
        }
        self.notices.push(Notice {
            origin: item.origin,
            fact: item.fact.clone(),
        });
        self.pass_on(item, source);
    }

    fn heard_item(&mut self, item: &Item, source: u64) {
        let subject = Subject::Fact(Key::of(&item.fact, item.origin));
        let source = self.neighbour(source);
        self.queue.record_duplicate(&subject, source);
    }

    /// passes a fact on as fast as its kind asks for
    pub(super) fn pass_on(&mut self, item: &Item, source: u64) {
        let subject = Subject::Fact(Key::of(&item.fact, item.origin));
        let update = Update {
            subject: subject.clone(),
            priority: Priority::Fact,
            bytes: size(item),
            random_sends: timing::random_sends(&item.fact),
        };
        let source = self.neighbour(source);
        self.queue.add(update, source);
        if timing::is_urgent(&item.fact) {
            self.urgent.push(subject);
        }
    }

    /// takes over a revision that was told as a number
    pub(super) fn learn_revision(&mut self, number: u64, source: u64, now: Instant) {
        if number <= self.ledger.revision() {
            return;
        }
        let item = Item {
            origin: source,
            counter: self.ledger.clock(),
            life_ms: u64::try_from(REVISION_LIFETIME.as_millis()).unwrap_or(u64::MAX),
            fact: Fact::Revision(Revision { number }),
        };
        self.learn_item(&item, source, now);
    }

    /// does what the membership asks for
    pub(super) fn follow(&mut self, actions: &[Action], now: Instant) {
        for action in actions {
            match *action {
                Action::Probe { target, suspected } => self.ask(target, suspected, now),
                Action::ProbeIndirectly { target, suspected } => self.check(target, suspected),
                Action::Confirm { requester, target } => self.confirm(requester, target),
                Action::Suspect(target) => {
                    if self.table.mark_suspected(target, now) {
                        self.touch();
                        self.announce(target, 0);
                    }
                }
                Action::MarkGone(target) => self.bury(target, now),
            }
        }
    }

    pub(super) fn bury(&mut self, target: u64, now: Instant) {
        self.prober.remove(target);
        if self.table.mark_gone(target, now) {
            self.touch();
            self.announce(target, 0);
        }
    }

    pub(super) fn ask(&mut self, target: u64, suspected: Option<u64>, now: Instant) {
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
        self.send(to, Message::Probe(probe), Purpose::Probe(target));
    }

    fn check(&mut self, target: u64, suspected: Option<u64>) {
        for helper in self.sample(INDIRECT_PROBERS, &[target]) {
            let check = Check {
                from: self.me.instance,
                target,
                suspected,
            };
            self.tell(helper, Message::Check(check));
        }
    }

    fn confirm(&mut self, requester: u64, target: u64) {
        if let Some(entry) = self.table.get(target) {
            let record = entry.record.clone();
            self.tell(requester, Message::Confirm(Confirm { record }));
        }
    }

    pub(super) fn tell(&mut self, instance: u64, message: Message) {
        if let Some(to) = self.target(instance) {
            self.send(to, message, Purpose::Tell);
        }
    }

    /// a probe was answered
    pub(super) fn acked(&mut self, target: u64, ack: &Ack, now: Instant) {
        self.learn(&ack.news, ack.instance, now);
        self.learn_revision(ack.revision, ack.instance, now);
        if ack.instance != target {
            self.bury(target, now);
            return;
        }
        let actions = self.prober.record_ack(target, ack.incarnation, now);
        self.follow(&actions, now);
        if ack.stranger {
            self.introduce(target);
        }
    }

    /// tells a member about this daemon
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

    /// asks the daemon at an address who it is
    pub(super) fn join(&mut self, control: String, now: Instant) {
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
        self.send(to, Message::Probe(probe), Purpose::Join);
    }

    /// the daemon at a seed's address answered
    pub(super) fn joined(&mut self, ack: &Ack, now: Instant) {
        self.learn(&ack.news, ack.instance, now);
        self.learn_revision(ack.revision, ack.instance, now);
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
            self.exchange_with(ack.instance, &data_centre, now);
        }
    }
}

/// bytes of a value as JSON
pub(super) fn size(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |text| text.len())
}
