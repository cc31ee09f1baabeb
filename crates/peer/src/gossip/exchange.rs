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
const PERIOD: Duration = Duration::from_secs(1);
/// time before another contact is tried
const RETRY: Duration = Duration::from_millis(300);
/// time for which a change is repeated in every exchange
const REPEATED: Duration = Duration::from_secs(5);
/// age of the other side's sums from which on both sides start exchanges
const SILENCE: Duration = Duration::from_secs(12);
/// time after which a daemon's list of its data centre counts as complete, and after
/// which a member that is missing from a complete list counts as gone
const SETTLED: Duration = Duration::from_secs(30);
/// bytes of news in one exchange
const NEWS: usize = 128 * 1024;

/// the exchanges with one data centre
pub(super) struct Link {
    next_at: Instant,
    ask_whole: bool,
    owe_whole: bool,
    tries: usize,
}

impl Core {
    /// exchanges sums with each data centre that is this daemon's duty
    pub(super) fn exchange_when_due(&mut self, now: Instant) {
        for data_centre in self.data_centres() {
            let period = jittered(PERIOD, &mut self.random);
            let link = self.link(&data_centre, now);
            if now < link.next_at {
                continue;
            }
            link.next_at = now + period;
            if self.starts_exchange(&data_centre, now)
                && let Some(peer) = self.contact(&data_centre)
            {
                self.exchange_with(peer, &data_centre, now);
            }
        }
    }

    fn link(&mut self, data_centre: &str, now: Instant) -> &mut Link {
        self.links.entry(data_centre.to_owned()).or_insert(Link {
            next_at: now,
            ask_whole: true,
            owe_whole: false,
            tries: 0,
        })
    }

    /// whether it is this daemon that calls: of each pair of data centres, the
    /// delegate of the one with the lower name
    fn starts_exchange(&self, data_centre: &str, now: Instant) -> bool {
        let key = Key::Summary(data_centre.to_owned());
        let silent = match self.ledger.latest(&key) {
            Some(stored) => now.saturating_duration_since(stored.received_at) > SILENCE,
            None => true,
        };
        if self.me.data_centre.as_str() > data_centre && !silent {
            return false;
        }
        let members: Vec<Member> = self.table.members_of(&self.me.data_centre).collect();
        duty::holds(&members, self.me.instance, &exchange_duty(data_centre), 1)
    }

    /// the other side's delegate, or after failures one of its next in line
    fn contact(&self, data_centre: &str) -> Option<u64> {
        let members: Vec<Member> = self.table.members_of(data_centre).collect();
        let ranked = duty::holders(
            &members,
            &exchange_duty(&self.me.data_centre),
            members.len(),
        );
        let tries = self.links.get(data_centre).map_or(0, |link| link.tries);
        let place = tries.checked_rem(ranked.len())?;
        Some(ranked[place].instance)
    }

    pub(super) fn exchange_with(&mut self, peer: u64, data_centre: &str, now: Instant) {
        let exchange = self.own_exchange(data_centre, now);
        if let Some(to) = self.target(peer) {
            self.send(to, Message::Exchange(exchange), Purpose::Exchange(peer));
        }
    }

    fn own_exchange(&mut self, data_centre: &str, now: Instant) -> Exchange {
        let link = self.link(data_centre, now);
        let ask_whole = link.ask_whole;
        let whole = std::mem::take(&mut link.owe_whole);
        let since = now.checked_sub(REPEATED);
        let subjects: Vec<Subject> = self.changes(whole, since, now);
        Exchange {
            from: self.me.instance,
            summary: self.current_summary(now),
            revision: self.ledger.revision(),
            hash: self.table.hash(&self.me.data_centre),
            whole: ask_whole,
            complete: whole && now.saturating_duration_since(self.started) >= SETTLED,
            news: self.news(&subjects, now, NEWS),
        }
    }

    /// members of this data centre that changed, or all; and VMs it said to leave
    fn changes(&self, whole: bool, since: Option<Instant>, now: Instant) -> Vec<Subject> {
        let is_recent = |at: Instant| since.is_none_or(|since| at >= since);
        let members = self
            .table
            .entries()
            .filter(|entry| self.table.is_local(&entry.record))
            .filter(|entry| whole || is_recent(entry.changed_at))
            .map(|entry| Subject::Member(entry.record.member.instance));
        let leaving = self
            .ledger
            .current_entries(now)
            .filter(|(key, stored)| matches!(key, Key::Leaving(_)) && is_recent(stored.received_at))
            .filter(|(_, stored)| self.is_of_this_data_centre(stored.origin))
            .map(|(key, _)| Subject::Fact(key.clone()));
        leaving.chain(members).collect()
    }

    fn is_of_this_data_centre(&self, instance: u64) -> bool {
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

    pub(super) fn serve_exchange(&mut self, exchange: &Exchange, now: Instant) -> Exchange {
        self.receive(exchange, now);
        self.own_exchange(&exchange.summary.data_centre, now)
    }

    /// an exchange failed: the next one goes to another contact, soon
    pub(super) fn exchange_failed(&mut self, peer: u64, now: Instant) {
        let Some(entry) = self.table.get(peer) else {
            return;
        };
        let data_centre = entry.record.member.data_centre.clone();
        let link = self.link(&data_centre, now);
        link.tries += 1;
        link.next_at = link.next_at.min(now + RETRY);
    }

    /// takes over what the other side told, as a call or as the answer to one
    pub(super) fn receive(&mut self, exchange: &Exchange, now: Instant) {
        let data_centre = &exchange.summary.data_centre;
        if *data_centre == self.me.data_centre {
            return;
        }
        self.learn(&exchange.news, exchange.from, now);
        self.learn_revision(exchange.revision, exchange.from, now);
        if exchange.complete {
            self.bury_missing(exchange, now);
        }
        let ask_whole = self.table.hash(data_centre) != exchange.hash;
        let link = self.link(data_centre, now);
        link.ask_whole = ask_whole;
        link.owe_whole = exchange.whole;
        self.tell_summary(exchange.summary.clone(), now);
    }

    /// members that a complete list does not name are gone, unless they are new here
    fn bury_missing(&mut self, exchange: &Exchange, now: Instant) {
        let News { records, .. } = &exchange.news;
        let named: BTreeSet<u64> = records.iter().map(|r| r.member.instance).collect();
        let missing: Vec<u64> = self
            .table
            .entries()
            .filter(|entry| entry.record.member.data_centre == exchange.summary.data_centre)
            .filter(|entry| now.saturating_duration_since(entry.changed_at) >= SETTLED)
            .map(|entry| entry.record.member.instance)
            .filter(|instance| !named.contains(instance))
            .collect();
        for instance in missing {
            self.bury(instance, now);
        }
    }
}

/// duty of the daemon that exchanges sums with a data centre
fn exchange_duty(data_centre: &str) -> String {
    format!("exchange/{data_centre}")
}
