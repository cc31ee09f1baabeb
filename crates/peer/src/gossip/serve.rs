use schema::member::{Ack, Check, Confirm, News, Probe, State};
use tokio::time::Instant;

use super::{Answer, Core, Message};

impl Core {
    /// serves a call of another daemon
    pub fn serve(&mut self, message: &Message, now: Instant) -> Answer {
        let answer = match message {
            Message::Probe(probe) => Answer::Ack(self.serve_probe(probe, now)),
            Message::Check(check) => {
                self.serve_check(check, now);
                Answer::Done
            }
            Message::Confirm(confirm) => {
                self.serve_confirm(confirm, now);
                Answer::Done
            }
            Message::Push(push) => {
                self.learn(&push.news, push.from, now);
                Answer::Done
            }
            Message::Sync(digest) => Answer::Difference(self.compare(digest, now)),
            Message::Report(report) => {
                self.receive_report(report, now);
                Answer::Done
            }
            Message::Exchange(exchange) => Answer::Exchange(self.serve_exchange(exchange, now)),
        };
        self.push_urgent(now);
        answer
    }

    fn serve_probe(&mut self, probe: &Probe, now: Instant) -> Ack {
        self.learn(&probe.news, probe.from, now);
        self.learn_revision(probe.revision, probe.from, now);
        let mut tell_self = probe.to != self.me.instance;
        if let Some(suspected) = probe.suspected
            && probe.to == self.me.instance
        {
            tell_self = true;
            if suspected >= self.table.local_record().incarnation && !self.has_left() {
                self.table.refute(suspected, now);
                self.announce(self.me.instance, 0);
            }
        }
        let mut news = self.piggyback(probe.from, now);
        let stranger = self.is_stranger(probe.from, &mut news);
        if tell_self || stranger {
            news.records.push(self.table.local_record().clone());
        }
        Ack {
            instance: self.me.instance,
            incarnation: self.table.local_record().incarnation,
            stranger,
            revision: self.ledger.revision(),
            news,
        }
    }

    /// whether the sender has to introduce itself; tells it what is believed of it
    fn is_stranger(&self, instance: u64, news: &mut News) -> bool {
        match self.table.get(instance) {
            None => true,
            Some(entry) => {
                let record = &entry.record;
                let doubted = record.suspected || record.member.state == State::Gone;
                if doubted {
                    news.records.push(record.clone());
                }
                doubted
            }
        }
    }

    fn serve_check(&mut self, check: &Check, now: Instant) {
        if check.target == self.me.instance {
            return;
        }
        self.prober.relay(check.target, check.from, now);
        self.ask(check.target, check.suspected, now);
    }

    fn serve_confirm(&mut self, confirm: &Confirm, now: Instant) {
        let record = &confirm.record;
        let instance = record.member.instance;
        self.learn_record(record, 0, now);
        let actions = self.prober.record_ack(instance, record.incarnation, now);
        self.follow(&actions, now);
    }

    /// says that this daemon leaves: it takes no more duties and hand-overs
    pub fn leave(&mut self, now: Instant) {
        if self.table.local_record().member.state == State::Live {
            self.declare(State::Leaving, now);
        }
    }

    /// says that this daemon is gone, and takes part no more
    pub fn quit(&mut self, now: Instant) {
        self.declare(State::Gone, now);
    }

    fn declare(&mut self, state: State, now: Instant) {
        self.table.set_local_state(state, 0, now);
        self.touch();
        self.announce(self.me.instance, 0);
        self.push_urgent(now);
    }

    /// the connection to a control address broke: probes the member there at once
    pub fn disconnected(&mut self, control: &str, now: Instant) {
        let member = self
            .table
            .data_centre_peers()
            .find(|r| r.member.control == control);
        if let Some(instance) = member.map(|record| record.member.instance) {
            let actions = self.prober.probe_now(instance, now);
            self.follow(&actions, now);
        }
    }
}
