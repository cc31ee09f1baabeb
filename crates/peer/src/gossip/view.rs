use std::collections::BTreeSet;
use std::time::Duration;

use schema::member::{Entry, Fact, Leaving, Member, Notice, State, Summary};
use tokio::time::Instant;

use super::Core;
use crate::fact::Key;
use crate::{Applied, Demand, Load, Rate};

impl Core {
    /// this daemon, with its current state
    pub fn local_member(&self) -> Member {
        self.table.local_record().member.clone()
    }

    /// the members of this data centre and of the reachable other ones, if they are not gone
    pub fn members(&self, now: Instant) -> Vec<Member> {
        let mut members: Vec<Member> = self.table.members_of(&self.me.data_centre).collect();
        for data_centre in self.data_centres() {
            if self.is_reachable(&data_centre, now) {
                members.extend(self.table.members_of(&data_centre));
            }
        }
        members
    }

    /// whether a data centre is this one or its summary has not expired
    pub fn is_reachable(&self, data_centre: &str, now: Instant) -> bool {
        let key = Key::Summary(data_centre.to_owned());
        data_centre == self.me.data_centre || self.ledger.current(&key, now).is_some()
    }

    /// instances marked as gone whose records are still kept
    pub fn gone_instances(&self) -> Vec<u64> {
        self.table
            .entries()
            .map(|entry| &entry.record.member)
            .filter(|member| member.state == State::Gone)
            .map(|member| member.instance)
            .collect()
    }

    /// number of queued updates
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// highest revision that any daemon published
    pub fn revision(&self) -> u64 {
        self.ledger.revision()
    }

    /// revision applied by each member that published it and is not gone
    pub fn applied_revisions(&self, now: Instant) -> Vec<Applied> {
        let mut applied = Vec::new();
        for (key, stored) in self.ledger.current_entries(now) {
            if let (Key::Applied(instance), Fact::Applied(fact)) = (key, &stored.fact)
                && let Some(member) = self.live_member(*instance)
            {
                let revision = fact.number;
                applied.push(Applied { member, revision });
            }
        }
        applied
    }

    /// unexpired load reports of members that are not gone
    pub fn loads(&self, now: Instant) -> Vec<Load> {
        let mut loads = Vec::new();
        for (_, stored) in self.ledger.current_entries(now) {
            if let Fact::Load(report) = &stored.fact
                && self.live_member(stored.origin).is_some()
            {
                loads.push(Load {
                    origin: stored.origin,
                    age: now.saturating_duration_since(stored.received_at),
                    report: report.clone(),
                });
            }
        }
        loads
    }

    /// VMs published as draining, with the seconds until their end
    pub fn draining_vms(&self, now: Instant) -> Vec<Leaving> {
        let mut leaving = Vec::new();
        for (_, stored) in self.ledger.current_entries(now) {
            if let Fact::Leaving(fact) = &stored.fact {
                let age = now.saturating_duration_since(stored.received_at).as_secs();
                leaving.push(Leaving {
                    vm: fact.vm.clone(),
                    seconds: fact.seconds.saturating_sub(age),
                });
            }
        }
        leaving
    }

    /// statements of upstream VMs, with the time since each was received
    pub fn notices(&self, now: Instant) -> Vec<(Notice, Duration)> {
        let mut notices = Vec::new();
        for (_, stored) in self.ledger.current_entries(now) {
            if let Fact::Notice(notice) = &stored.fact {
                let age = now.saturating_duration_since(stored.received_at);
                notices.push((notice.clone(), age));
            }
        }
        notices
    }

    /// the member that a request was handed over to, if it is not gone
    pub fn handover_target(&self, request: &str, now: Instant) -> Option<Member> {
        let stored = self.ledger.current(&Key::Moved(request.to_owned()), now)?;
        match &stored.fact {
            Fact::Moved(moved) => self.live_member(moved.to),
            _ => None,
        }
    }

    fn live_member(&self, instance: u64) -> Option<Member> {
        let entry = self.table.get(instance)?;
        let member = &entry.record.member;
        (member.state != State::Gone).then(|| member.clone())
    }

    /// demand of a workspace
    pub fn demand(&self, workspace: &str) -> Demand {
        let local_rate = rate(&self.demand.entries, workspace);
        let local_key = Key::Summary(self.me.data_centre.clone());
        let mut demand = Demand {
            local: local_rate,
            data_centre: local_rate,
            fleet: Rate::default(),
        };
        for stored in self.ledger.all_entries() {
            let Fact::Summary(summary) = &stored.fact else {
                continue;
            };
            let sum = rate(&summary.entries, workspace);
            if Key::Summary(summary.data_centre.clone()) == local_key {
                demand.data_centre = max_of(local_rate, sum);
            } else {
                demand.fleet = sum_of(demand.fleet, sum);
            }
        }
        demand.fleet = sum_of(demand.fleet, demand.data_centre);
        demand
    }

    /// control addresses of seeds, and of members of this data centre that are gone, at which no
    /// member is known now
    pub(super) fn unoccupied_addresses(&self) -> Vec<String> {
        let occupied: BTreeSet<&str> = self
            .table
            .entries()
            .map(|entry| &entry.record.member)
            .filter(|member| member.state != State::Gone)
            .map(|member| member.control.as_str())
            .collect();
        let gone = self
            .table
            .entries()
            .map(|entry| &entry.record.member)
            .filter(|m| m.state == State::Gone && m.data_centre == self.me.data_centre)
            .map(|member| member.control.clone());
        let mut addresses: Vec<String> = self.seeds.iter().cloned().chain(gone).collect();
        addresses.retain(|control| !occupied.contains(control.as_str()));
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// latest summary of a data centre
    pub fn summary(&self, data_centre: &str) -> Option<&Summary> {
        let stored = self.ledger.latest(&Key::Summary(data_centre.to_owned()))?;
        match &stored.fact {
            Fact::Summary(summary) => Some(summary),
            _ => None,
        }
    }
}

fn rate(entries: &[Entry], workspace: &str) -> Rate {
    match entries.iter().find(|entry| entry.workspace == workspace) {
        Some(entry) => Rate {
            tokens_per_second: entry.tokens_per_second,
            concurrent: u64::from(entry.concurrent),
        },
        None => Rate::default(),
    }
}

fn sum_of(left: Rate, right: Rate) -> Rate {
    Rate {
        tokens_per_second: left.tokens_per_second + right.tokens_per_second,
        concurrent: left.concurrent + right.concurrent,
    }
}

fn max_of(left: Rate, right: Rate) -> Rate {
    Rate {
        tokens_per_second: left.tokens_per_second.max(right.tokens_per_second),
        concurrent: left.concurrent.max(right.concurrent),
    }
}
