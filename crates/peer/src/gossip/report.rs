use std::collections::BTreeMap;
use std::time::Duration;

use schema::member::{Demand, Entry, Fact, Report, Summary};
use tokio::time::Instant;

use super::{Core, Message};
use crate::duty;
use crate::fact::{Held, Key, life};

/// duty of the daemon that sums up the demand of its data centre
const SUM: &str = "sum";
/// a report counts for so many of its periods
const REPORT_PERIODS: u32 = 3;
/// change of an entry, percent, from which on a sum is told anew
const CHANGE_PERCENT: u64 = 10;

/// the last report of a daemon
pub(super) struct Received {
    demand: Demand,
    at: Instant,
}

impl Core {
    fn summer(&self) -> Option<u64> {
        let members: Vec<_> = self.table.members(&self.me.data_centre).collect();
        duty::holders(&members, SUM, 1)
            .first()
            .map(|member| member.instance)
    }

    /// tells the own demand to the daemon that sums it up
    pub(super) fn report_when_due(&mut self, now: Instant) {
        if now < self.due.report {
            return;
        }
        self.due.report = now + life::report_period(self.table.size());
        let report = Report {
            from: self.me.instance,
            demand: self.demand.clone(),
        };
        match self.summer() {
            Some(summer) if summer == self.me.instance => self.receive_report(&report, now),
            Some(summer) if !report.demand.entries.is_empty() => {
                self.tell(summer, Message::Report(report));
            }
            _ => {}
        }
    }

    pub(super) fn receive_report(&mut self, report: &Report, now: Instant) {
        let received = Received {
            demand: report.demand.clone(),
            at: now,
        };
        self.reports.insert(report.from, received);
    }

    /// publishes the sum of the data centre, if that is this daemon's duty
    pub(super) fn sum_when_due(&mut self, now: Instant) {
        if now < self.due.sum {
            return;
        }
        let data_centres = self.data_centres().len() + 1;
        self.due.sum = now + life::summary_period(data_centres);
        if self.summer() != Some(self.me.instance) {
            self.reports.clear();
            return;
        }
        let period = life::report_period(self.table.size());
        let valid = period * REPORT_PERIODS;
        self.reports
            .retain(|_, received| now.saturating_duration_since(received.at) < valid);
        let summary = self.added_up();
        self.tell_summary(summary, now);
    }

    /// sums of this data centre as far as they were reported here
    fn added_up(&self) -> Summary {
        let mut entries: BTreeMap<&str, Entry> = BTreeMap::new();
        for received in self.reports.values() {
            for entry in &received.demand.entries {
                let sum = entries.entry(&entry.workspace).or_insert_with(|| Entry {
                    workspace: entry.workspace.clone(),
                    tokens_per_second: 0,
                    concurrent: 0,
                });
                sum.tokens_per_second += entry.tokens_per_second;
                sum.concurrent = sum.concurrent.saturating_add(entry.concurrent);
            }
        }
        Summary {
            data_centre: self.me.data_centre.clone(),
            members: u32::try_from(self.table.size()).unwrap_or(u32::MAX),
            entries: entries.into_values().collect(),
        }
    }

    /// publishes the sums of a data centre, if they changed or were told long ago
    pub(super) fn tell_summary(&mut self, summary: Summary, now: Instant) {
        let key = Key::Summary(summary.data_centre.clone());
        if self.is_worth_telling(self.ledger.last(&key), &summary, now) {
            self.emit(Fact::Summary(summary), now);
            self.touch();
        }
    }

    fn is_worth_telling(&self, held: Option<&Held>, summary: &Summary, now: Instant) -> bool {
        let Some(held) = held else {
            return true;
        };
        let Fact::Summary(old) = &held.fact else {
            return true;
        };
        let age = now.saturating_duration_since(held.learned);
        if age >= life::SUMMARY_REPEAT {
            return true;
        }
        let shortest = life::summary_period(self.data_centres().len() + 1);
        age + Duration::from_millis(100) >= shortest && differs(old, summary)
    }
}

/// whether sums differ by enough to be told anew
fn differs(old: &Summary, new: &Summary) -> bool {
    if old.members != new.members || old.entries.len() != new.entries.len() {
        return true;
    }
    old.entries.iter().zip(&new.entries).any(|(old, new)| {
        old.workspace != new.workspace
            || is_far(old.tokens_per_second, new.tokens_per_second)
            || is_far(u64::from(old.concurrent), u64::from(new.concurrent))
    })
}

fn is_far(old: u64, new: u64) -> bool {
    old.abs_diff(new) * 100 > old.max(new) * CHANGE_PERCENT
}
