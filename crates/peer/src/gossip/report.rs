use std::collections::BTreeMap;
use std::time::Duration;

use schema::member::{Demand, Entry, Fact, Report, Summary};
use tokio::time::Instant;

use super::{Core, Message};
use crate::duty;
use crate::fact::{Entry as FactEntry, Key, timing};

/// duty of the daemon that sums the demand of its data centre
const SUM: &str = "sum";
/// a report is valid for this number of report periods
const REPORT_VALID_PERIODS: u32 = 3;
/// a change of an entry by more than this, percent, publishes a summary again
const CHANGE_PERCENT: u64 = 10;

/// largest number of daemons that all report to one daemon, without groups
const MAX_UNGROUPED: usize = 6;

/// sender of a report
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Reporter {
    /// a daemon, which reports its own demand
    Daemon(u64),
    /// the holder of a group's duty, which reports the group's sum
    Group(u32),
}

/// the last report of a daemon or a group
pub(super) struct Received {
    demand: Demand,
    at: Instant,
}

impl Core {
    fn duty_holder(&self, duty: &str) -> Option<u64> {
        let members: Vec<_> = self.table.members_of(&self.me.data_centre).collect();
        duty::holders(&members, duty, 1)
            .first()
            .map(|member| member.instance)
    }

    /// reports this daemon's demand to the daemon that sums it
    ///
    /// In a large data centre the demand is summed by group first, and then the sums of the
    /// groups, so that a daemon receives only about as many reports as the square root of the
    /// number of daemons.
    pub(super) fn report_if_due(&mut self, now: Instant) {
        if now < self.due.report {
            return;
        }
        self.remove_expired_reports(now);
        let groups = group_count(self.table.data_centre_size());
        self.due.report =
            now + timing::report_period(reporter_count(self.table.data_centre_size()));
        let local_report = Report {
            from: self.me.instance,
            demand: self.demand.clone(),
            group: None,
        };
        if groups == 1 {
            self.report_to(SUM, local_report, now);
            return;
        }
        let group = u32::try_from(self.me.instance % u64::from(groups)).unwrap_or_default();
        self.report_to(&group_duty(group), local_report, now);
        for group in 0..groups {
            let is_holder = self.duty_holder(&group_duty(group)) == Some(self.me.instance);
            if is_holder && let Some(demand) = self.group_demand(group, groups) {
                let from = self.me.instance;
                let group = Some(group);
                let sum = Report {
                    from,
                    demand,
                    group,
                };
                self.report_to(SUM, sum, now);
            }
        }
    }

    fn report_to(&mut self, duty: &str, report: Report, now: Instant) {
        match self.duty_holder(duty) {
            Some(holder) if holder == self.me.instance => self.store_report(&report, now),
            Some(holder) if !report.demand.entries.is_empty() => {
                self.notify(holder, Message::Report(report));
            }
            _ => {}
        }
    }

    /// sum of the demand that the daemons of a group reported to this one
    fn group_demand(&self, group: u32, groups: u32) -> Option<Demand> {
        let group = u64::from(group);
        let of_group = |reporter: &Reporter| match reporter {
            Reporter::Daemon(instance) => instance % u64::from(groups) == group,
            Reporter::Group(_) => false,
        };
        let entries = self.sum_reports(of_group);
        (!entries.is_empty()).then_some(Demand { entries })
    }

    fn remove_expired_reports(&mut self, now: Instant) {
        let valid = timing::report_period(reporter_count(self.table.data_centre_size()))
            * REPORT_VALID_PERIODS;
        self.reports
            .retain(|_, received| now.saturating_duration_since(received.at) < valid);
    }

    pub(super) fn store_report(&mut self, report: &Report, now: Instant) {
        let reporter = match report.group {
            Some(group) => Reporter::Group(group),
            None => Reporter::Daemon(report.from),
        };
        let received = Received {
            demand: report.demand.clone(),
            at: now,
        };
        self.reports.insert(reporter, received);
    }

    /// publishes the summary of the data centre, if that is this daemon's duty
    pub(super) fn publish_summary_if_due(&mut self, now: Instant) {
        if now < self.due.summary {
            return;
        }
        let data_centres = self.data_centres().len() + 1;
        self.due.summary = now + timing::summary_period(data_centres);
        if self.duty_holder(SUM) != Some(self.me.instance) {
            return;
        }
        self.remove_expired_reports(now);
        let grouped = group_count(self.table.data_centre_size()) > 1;
        let entries = self.sum_reports(|reporter| match reporter {
            Reporter::Daemon(_) => !grouped,
            Reporter::Group(_) => grouped,
        });
        let summary = Summary {
            data_centre: self.me.data_centre.clone(),
            members: u32::try_from(self.table.data_centre_size()).unwrap_or(u32::MAX),
            entries,
        };
        self.publish_summary(summary, now);
    }

    /// sums the reports of the selected reporters by workspace
    fn sum_reports(&self, selected: impl Fn(&Reporter) -> bool) -> Vec<Entry> {
        let mut entries: BTreeMap<&str, Entry> = BTreeMap::new();
        let reports = self
            .reports
            .iter()
            .filter(|(reporter, _)| selected(reporter));
        for entry in reports.flat_map(|(_, received)| &received.demand.entries) {
            let sum = entries.entry(&entry.workspace).or_insert_with(|| Entry {
                workspace: entry.workspace.clone(),
                tokens_per_second: 0,
                concurrent: 0,
            });
            sum.tokens_per_second = sum
                .tokens_per_second
                .saturating_add(entry.tokens_per_second);
            sum.concurrent = sum.concurrent.saturating_add(entry.concurrent);
        }
        entries.into_values().collect()
    }

    /// publishes the summary of any data centre to the members of this one, if it changed or
    /// was last published [`timing::SUMMARY_REPEAT_PERIOD`] ago
    pub(super) fn publish_summary(&mut self, summary: Summary, now: Instant) {
        let key = Key::Summary(summary.data_centre.clone());
        if self.should_publish(self.ledger.latest(&key), &summary, now) {
            self.publish_now(Fact::Summary(summary), now);
            self.bump_version();
        }
    }

    fn should_publish(&self, stored: Option<&FactEntry>, summary: &Summary, now: Instant) -> bool {
        let Some(stored) = stored else {
            return true;
        };
        let Fact::Summary(old) = &stored.fact else {
            return true;
        };
        let age = now.saturating_duration_since(stored.received_at);
        if age >= timing::SUMMARY_REPEAT_PERIOD {
            return true;
        }
        let shortest = timing::summary_period(self.data_centres().len() + 1);
        age + Duration::from_millis(100) >= shortest && differs_enough(old, summary)
    }
}

/// number of groups in a data centre: about the square root of its daemons
fn group_count(members: usize) -> u32 {
    if members <= MAX_UNGROUPED {
        return 1;
    }
    u32::try_from(members.isqrt()).unwrap_or(u32::MAX)
}

/// number of daemons, or of groups, that report to one daemon
fn reporter_count(members: usize) -> usize {
    members.div_ceil(group_count(members) as usize)
}

fn group_duty(group: u32) -> String {
    format!("{SUM}/{group}")
}

/// whether summaries differ by enough to publish the new one
fn differs_enough(old: &Summary, new: &Summary) -> bool {
    if old.members != new.members || old.entries.len() != new.entries.len() {
        return true;
    }
    old.entries.iter().zip(&new.entries).any(|(old, new)| {
        old.workspace != new.workspace
            || exceeds_threshold(old.tokens_per_second, new.tokens_per_second)
            || exceeds_threshold(u64::from(old.concurrent), u64::from(new.concurrent))
    })
}

fn exceeds_threshold(old: u64, new: u64) -> bool {
    old.abs_diff(new) * 100 > old.max(new) * CHANGE_PERCENT
}
