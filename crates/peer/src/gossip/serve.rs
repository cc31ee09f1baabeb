use schema::member::{Ack, Check, Confirm, News, Probe, State};
use tokio::time::Instant;

use super::{Core, Message, Response};

impl Core {
    /// handles a call of another daemon
    pub fn serve(&mut self, message: &Message, now: Instant) -> Response {
        let response = match message {
            Message::Probe(probe) => Response::Ack(self.handle_probe(probe, now)),
            Message::Check(check) => {
                self.handle_check(check, now);
                Response::Done
            }
            Message::Confirm(confirm) => {
                self.handle_confirm(confirm, now);
                Response::Done
            }
            Message::Push(push) => {
                self.apply_news(&push.news, push.from, now);
                Response::Done
            }
            Message::Sync(digest) => Response::Difference(self.compare_digest(digest, now)),
            Message::Report(report) => {
                self.store_report(report, now);
                Response::Done
            }
            Message::Exchange(exchange) => Response::Exchange(self.handle_exchange(exchange, now)),
        };
        self.push_urgent(now);
        response
    }

    fn handle_probe(&mut self, probe: &Probe, now: Instant) -> Ack {
        self.apply_news(&probe.news, probe.from, now);
        self.apply_revision(probe.revision, probe.from, now);
        let mut include_self = probe.to != self.me.instance;
        if let Some(suspected) = probe.suspected
            && probe.to == self.me.instance
        {
            include_self = true;
            if suspected >= self.table.local_record().incarnation && !self.has_quit() {
                self.table.refute(suspected, now);
                self.announce(self.me.instance, 0);
            }
        }
        let mut news = self.piggyback(probe.from, now);
        let needs_introduction = self.needs_introduction(probe.from, &mut news);
        if include_self || needs_introduction {
            news.records.push(self.table.local_record().clone());
        }
        Ack {
            instance: self.me.instance,
            incarnation: self.table.local_record().incarnation,
            stranger: needs_introduction,
            revision: self.ledger.revision(),
            news,
        }
    }

    /// whether the sender of a probe has to send its record: it is unknown here, suspected or
    /// gone; in the latter cases adds the stored record, so that it can refute it
    fn needs_introduction(&self, instance: u64, news: &mut News) -> bool {
        match self.table.get(instance) {
            None => true,
            Some(entry) => {
                let record = &entry.record;
                let needs_refutation = record.suspected || record.member.state == State::Gone;
                if needs_refutation {
                    news.records.push(record.clone());
                }
                needs_refutation
            }
        }
    }

    fn handle_check(&mut self, check: &Check, now: Instant) {
        if check.target == self.me.instance {
            return;
        }
        self.prober.relay(check.target, check.from, now);
        self.probe(check.target, check.suspected, now);
    }

    fn handle_confirm(&mut self, confirm: &Confirm, now: Instant) {
        let record = &confirm.record;
        let instance = record.member.instance;
        self.apply_record(record, 0, now);
        let actions = self.prober.record_ack(instance, record.incarnation, now);
        self.carry_out(&actions, now);
    }

    /// announces that this daemon drains: it gets no more duties and hand-overs
    pub fn start_drain(&mut self, now: Instant) {
        if self.table.local_record().member.state == State::Live {
            self.announce_state(State::Leaving, now);
        }
    }

    /// announces that this daemon is gone, and ends its periodic work
    pub fn quit(&mut self, now: Instant) {
        self.announce_state(State::Gone, now);
    }

    fn announce_state(&mut self, state: State, now: Instant) {
        self.table.set_local_state(state, 0, now);
        self.bump_version();
        self.announce(self.me.instance, 0);
        self.push_urgent(now);
    }

    /// probes the member at a control address at once, because the connection to it broke
    pub fn disconnected(&mut self, control: &str, now: Instant) {
        let member = self
            .table
            .data_centre_peers()
            .find(|r| r.member.control == control);
        if let Some(instance) = member.map(|record| record.member.instance) {
            let actions = self.prober.probe_now(instance, now);
            self.carry_out(&actions, now);
        }
    }
}
