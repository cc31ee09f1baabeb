use std::collections::BTreeSet;
use std::time::Duration;

use schema::member::{Exchange, Fact, Member, News, Summary};
use tokio::time::Instant;

use super::core::Purpose;
use super::{Core, Message};
use crate::duty;
use crate::fact::{Key, Subject};
use crate::member::timing::jittered;

/// longest time between two exchanges with one data centre
const MAX_PERIOD: Duration = Duration::from_secs(1);
/// time after a failed exchange until the next contact is tried
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// time for which a change is sent in every exchange
const REPEAT_TIME: Duration = Duration::from_secs(5);
/// age of the other data centre's summary from which on both start exchanges
const SUMMARY_TIMEOUT: Duration = Duration::from_secs(12);
/// uptime from which on a daemon's list of its data centre counts as complete, and age of a
/// record from which on its absence from a complete list means that the member is gone
const SETTLE_TIME: Duration = Duration::from_secs(30);
/// largest size of the updates in one exchange, bytes
const MAX_UPDATE_BYTES: usize = 128 * 1024;

/// state of the exchanges with one data centre
pub(super) struct ExchangeState {
    next_at: Instant,
    request_all: bool,
    send_all: bool,
    failures: usize,
}

impl Core {
    /// starts the exchanges with other data centres that are due and this daemon's duty
    pub(super) fn exchange_if_due(&mut self, now: Instant) {
        for data_centre in self.data_centres() {
            let period = jittered(MAX_PERIOD, &mut self.random);
            let state = self.exchange_state(&data_centre, now);
            if now < state.next_at {
                continue;
            }
            state.next_at = now + period;
            if self.starts_exchange(&data_centre, now)
                && let Some(peer) = self.select_contact(&data_centre)
            {
                self.start_exchange(peer, &data_centre, now);
            }
        }
    }

    fn exchange_state(&mut self, data_centre: &str, now: Instant) -> &mut ExchangeState {
        self.exchanges
            .entry(data_centre.to_owned())
            .or_insert(ExchangeState {
                next_at: now,
                request_all: true,
                send_all: false,
                failures: 0,
            })
    }

    /// whether this daemon starts the exchanges with a data centre: of a pair of data centres,
    /// the delegate of the one with the lower name does, and the other delegate as well if it
    /// has no recent summary of that data centre
    fn starts_exchange(&self, data_centre: &str, now: Instant) -> bool {
        let key = Key::Summary(data_centre.to_owned());
        let is_stale = match self.ledger.latest(&key) {
            Some(stored) => now.saturating_duration_since(stored.received_at) > SUMMARY_TIMEOUT,
            None => true,
        };
        if self.me.data_centre.as_str() > data_centre && !is_stale {
            return false;
        }
        let members: Vec<Member> = self.table.members_of(&self.me.data_centre).collect();
        duty::holds(&members, self.me.instance, &exchange_duty(data_centre), 1)
    }

    /// the delegate of a data centre; after failures, the next ones by the score of the duty
    fn select_contact(&self, data_centre: &str) -> Option<u64> {
        let members: Vec<Member> = self.table.members_of(data_centre).collect();
        let candidates = duty::holders(
            &members,
            &exchange_duty(&self.me.data_centre),
            members.len(),
        );
        let failures = self
            .exchanges
            .get(data_centre)
            .map_or(0, |state| state.failures);
        let index = failures.checked_rem(candidates.len())?;
        Some(candidates[index].instance)
    }

    pub(super) fn start_exchange(&mut self, peer: u64, data_centre: &str, now: Instant) {
        let exchange = self.build_exchange(data_centre, now);
        if let Some(to) = self.target(peer) {
            self.send_call(to, Message::Exchange(exchange), Purpose::Exchange(peer));
        }
    }

    fn build_exchange(&mut self, data_centre: &str, now: Instant) -> Exchange {
        let state = self.exchange_state(data_centre, now);
        let request_all = state.request_all;
        let all = std::mem::take(&mut state.send_all);
        let since = now.checked_sub(REPEAT_TIME);
        let subjects: Vec<Subject> = self.changed_subjects(all, since, now);
        Exchange {
            from: self.me.instance,
            summary: self.current_summary(now),
            revision: self.ledger.revision(),
            hash: self.table.hash(&self.me.data_centre),
            whole: request_all,
            complete: all && now.saturating_duration_since(self.started) >= SETTLE_TIME,
            news: self.collect_news(&subjects, now, MAX_UPDATE_BYTES),
        }
    }

    /// members of this data centre that changed after `since`, or all of them; and draining VMs
    /// that its members published after `since`
    fn changed_subjects(&self, all: bool, since: Option<Instant>, now: Instant) -> Vec<Subject> {
        let is_recent = |at: Instant| since.is_none_or(|since| at >= since);
        let members = self
            .table
            .entries()
            .filter(|entry| self.table.is_local(&entry.record))
            .filter(|entry| all || is_recent(entry.changed_at))
            .map(|entry| Subject::Member(entry.record.member.instance));
        let leaving = self
            .ledger
            .current_entries(now)
            .filter(|(key, stored)| matches!(key, Key::Leaving(_)) && is_recent(stored.received_at))
            .filter(|(_, stored)| self.is_local_instance(stored.origin))
            .map(|(key, _)| Subject::Fact(key.clone()));
        leaving.chain(members).collect()
    }

    fn is_local_instance(&self, instance: u64) -> bool {
        let entry = self.table.get(instance);
        entry.is_some_and(|entry| self.table.is_local(&entry.record))
    }

    fn current_summary(&self, now: Instant) -> Summary {
        let key = Key::Summary(self.me.data_centre.clone());
        if let Some(stored) = self.ledger.current(&key, now)
            && let Fact::Summary(summary) = &stored.fact
        {
            return summary.clone();
        }
        Summary {
            data_centre: self.me.data_centre.clone(),
            members: u32::try_from(self.table.data_centre_size()).unwrap_or(u32::MAX),
            entries: Vec::new(),
        }
    }

    pub(super) fn handle_exchange(&mut self, exchange: &Exchange, now: Instant) -> Exchange {
        self.apply_exchange(exchange, now);
        self.build_exchange(&exchange.summary.data_centre, now)
    }

    /// after a failed exchange, the next one starts soon, with another contact
    pub(super) fn handle_exchange_failure(&mut self, peer: u64, now: Instant) {
        let Some(entry) = self.table.get(peer) else {
            return;
        };
        let data_centre = entry.record.member.data_centre.clone();
        let state = self.exchange_state(&data_centre, now);
        state.failures += 1;
        state.next_at = state.next_at.min(now + RETRY_DELAY);
    }

    /// applies an exchange of another data centre, whether a call or a response
    pub(super) fn apply_exchange(&mut self, exchange: &Exchange, now: Instant) {
        let data_centre = &exchange.summary.data_centre;
        if *data_centre == self.me.data_centre {
            return;
        }
        self.apply_news(&exchange.news, exchange.from, now);
        self.apply_revision(exchange.revision, exchange.from, now);
        if exchange.complete {
            self.mark_missing_gone(exchange, now);
        }
        let request_all = self.table.hash(data_centre) != exchange.hash;
        let state = self.exchange_state(data_centre, now);
        state.request_all = request_all;
        state.send_all = exchange.whole;
        self.publish_summary(exchange.summary.clone(), now);
    }

    /// marks members that are missing from a complete list as gone, unless their record changed
    /// recently
    fn mark_missing_gone(&mut self, exchange: &Exchange, now: Instant) {
        let News { records, .. } = &exchange.news;
        let listed: BTreeSet<u64> = records.iter().map(|r| r.member.instance).collect();
        let missing: Vec<u64> = self
            .table
            .entries()
            .filter(|entry| entry.record.member.data_centre == exchange.summary.data_centre)
            .filter(|entry| now.saturating_duration_since(entry.changed_at) >= SETTLE_TIME)
            .map(|entry| entry.record.member.instance)
            .filter(|instance| !listed.contains(instance))
            .collect();
        for instance in missing {
            self.mark_gone(instance, now);
        }
    }
}

/// duty of the delegate for the exchanges with a data centre
fn exchange_duty(data_centre: &str) -> String {
    format!("exchange/{data_centre}")
}
