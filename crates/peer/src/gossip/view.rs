use std::collections::BTreeSet;

use schema::member::{Entry, Fact, Leaving, Member, State, Summary};
use tokio::time::Instant;

use super::Core;
use crate::fact::Key;
use crate::{Applied, Demand, Load, Rate};

impl Core {
    /// this daemon, with its state
    pub fn own(&self) -> Member {
        self.table.local_record().member.clone()
    }

    /// the members of this data centre, and those of the others that can be reached
    pub fn members(&self, now: Instant) -> Vec<Member> {
        let mut members: Vec<Member> = self.table.members_of(&self.me.data_centre).collect();
        for data_centre in self.data_centres() {
            if self.reaches(&data_centre, now) {
                members.extend(self.table.members_of(&data_centre));
            }
        }
        members
    }

    /// whether a data centre was heard of lately
    pub fn reaches(&self, data_centre: &str, now: Instant) -> bool {
        let key = Key::Summary(data_centre.to_owned());
        data_centre == self.me.data_centre || self.ledger.current(&key, now).is_some()
    }

    /// instances believed gone that are still remembered
    pub fn buried(&self) -> Vec<u64> {
        self.table
            .entries()
            .map(|entry| &entry.record.member)
            .filter(|member| member.state == State::Gone)
            .map(|member| member.instance)
            .collect()
    }

    /// number of topics that are still to be passed on
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// highest revision known
    pub fn revision(&self) -> u64 {
        self.ledger.revision()
    }

    /// revision in force on each live member of this data centre that said so
    pub fn applied(&self, now: Instant) -> Vec<Applied> {
        let mut applied = Vec::new();
        for (key, stored) in self.ledger.current_entries(now) {
            if let (Key::Applied(instance), Fact::Applied(fact)) = (key, &stored.fact)
                && let Some(member) = self.live(*instance)
            {
                let revision = fact.number;
                applied.push(Applied { member, revision });
            }
        }
        applied
    }

    /// load reports of live members
    pub fn loads(&self, now: Instant) -> Vec<Load> {
        let mut loads = Vec::new();
        for (_, stored) in self.ledger.current_entries(now) {
            if let Fact::Load(report) = &stored.fact
                && self.live(stored.origin).is_some()
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

    /// VMs said to leave
    pub fn leaving(&self, now: Instant) -> Vec<Leaving> {
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

    /// the member that a request was handed over to
    pub fn moved(&self, request: &str, now: Instant) -> Option<Member> {
        let stored = self.ledger.current(&Key::Moved(request.to_owned()), now)?;
        match &stored.fact {
            Fact::Moved(moved) => self.live(moved.to),
            _ => None,
        }
    }

    fn live(&self, instance: u64) -> Option<Member> {
        let entry = self.table.get(instance)?;
        let member = &entry.record.member;
        (member.state != State::Gone).then(|| member.clone())
    }

    /// demand of a workspace
    pub fn demand(&self, workspace: &str) -> Demand {
        let own = rate(&self.demand.entries, workspace);
        let here = Key::Summary(self.me.data_centre.clone());
        let mut demand = Demand {
            own,
            data_centre: own,
            fleet: Rate::default(),
        };
        for stored in self.ledger.all_entries() {
            let Fact::Summary(summary) = &stored.fact else {
                continue;
            };
            let sum = rate(&summary.entries, workspace);
            if Key::Summary(summary.data_centre.clone()) == here {
                demand.data_centre = largest(own, sum);
            } else {
                demand.fleet = add(demand.fleet, sum);
            }
        }
        demand.fleet = add(demand.fleet, demand.data_centre);
        demand
    }

    /// control addresses of seeds and of members gone where nobody is known to be now
    pub(super) fn absent(&self) -> Vec<String> {
        let taken: BTreeSet<&str> = self
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
        let mut absent: Vec<String> = self.seeds.iter().cloned().chain(gone).collect();
        absent.retain(|control| !taken.contains(control.as_str()));
        absent.sort();
        absent.dedup();
        absent
    }

    /// what this data centre is told of another one
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

fn add(left: Rate, right: Rate) -> Rate {
    Rate {
        tokens_per_second: left.tokens_per_second + right.tokens_per_second,
        concurrent: left.concurrent + right.concurrent,
    }
}

fn largest(left: Rate, right: Rate) -> Rate {
    Rate {
        tokens_per_second: left.tokens_per_second.max(right.tokens_per_second),
        concurrent: left.concurrent.max(right.concurrent),
    }
}
