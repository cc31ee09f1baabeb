//! Load of the VMs: what this daemon has sent, what its peers reported, and what they are assumed to have
//! sent before they report.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::backlog;
use super::balancer::{Balancer, Service};
use super::engine::Timing;
use super::entry::Entry;
use super::excess::Excess;
use super::load::Load;
use super::member::Member;
use super::request::Distance;

/// age after which the load reported by a peer is ignored, if peers report more often
const MIN_PEER_LOAD_TTL: Duration = Duration::from_millis(2500);

/// report intervals after which it is ignored otherwise: with hundreds of daemons, a load that is
/// seconds old is still right on average, and without it VMs seem idle
const PEER_LOAD_INTERVALS: f64 = 1.5;

/// age of a load when it arrives, in report intervals: reports of other zones pass two delegates
const REPORT_DELAY_INTERVALS: f64 = 1.4;

/// number of daemons up to which all report to each other directly, and loads are half a second old
pub(super) const MAX_DIRECT_DAEMONS: u32 = 12;

/// most tokens that peers which have not reported are assumed to have waiting at a VM: 0.2 s of
/// prefill, less than the shortest objectives
const MAX_ASSUMED_PREFILL: u64 = 10_000;

/// last reported load of a peer, by VM
#[derive(Debug, Clone)]
pub(super) struct PeerLoads {
    received_at: Instant,
    loads: HashMap<String, Load>,
    /// prompt tokens waiting at a VM on average, by service
    means: HashMap<String, backlog::Means>,
    /// average over all VMs, by service
    averages: HashMap<String, Load>,
}

impl Service {
    /// time beyond the expected one that requests wait at VMs of a distance
    pub(super) fn excess(&self, distance: Distance) -> &Excess {
        match distance {
            Distance::Zone | Distance::Region => &self.excess_here,
            Distance::Link => &self.excess_there,
        }
    }

    /// average of a load over all VMs
    fn average(&self, loads: &HashMap<String, Load>) -> Load {
        let mut sum = Load::default();
        for load in self.entries.keys().filter_map(|id| loads.get(id)) {
            sum.add(load);
        }
        sum.divided(self.entries.len())
    }

    /// prompt tokens that wait at a VM on average, by distance
    fn means(&self, loads: &HashMap<String, Load>) -> backlog::Means {
        backlog::means(self.entries.iter().map(|(id, entry)| {
            let waiting = loads.get(id).map_or(0, |load| load.prefill_tokens);
            (entry.member.distance, waiting)
        }))
    }
}

impl Balancer {
    /// assumes until a time that peers send as much as this daemon, as long as none has reported
    ///
    /// Load pattern: all daemons are lost, and start again with all callers returning. Without
    /// reports VMs seem to have only what this daemon has sent, one of tens, and are flooded. The
    /// assumption is bounded, so that VMs accept urgent requests in any case.
    pub fn assume_peers(&mut self, until: Instant) {
        self.assumes_peers_until = Some(until);
    }

    /// load at each VM of a service that peers are assumed to have sent
    fn assumed_load(&self, state: &Service, member: &Member, now: Instant) -> Load {
        let is_assumed = self.assumes_peers_until.is_some_and(|until| now < until);
        if !is_assumed || !self.peer_loads.is_empty() {
            return Load::default();
        }
        let peers = self.daemons.saturating_sub(1);
        let sent = Load {
            running: state.sent.running.saturating_mul(peers),
            prefill_tokens: state.sent.prefill_tokens * u64::from(peers),
            held: 0,
        };
        let each = sent.divided(state.entries.len());
        Load {
            running: each.running.min(member.slots / 2),
            prefill_tokens: each.prefill_tokens.min(MAX_ASSUMED_PREFILL),
            held: 0,
        }
    }

    /// age after which the load reported by a peer is ignored
    fn peer_load_ttl(&self) -> Duration {
        MIN_PEER_LOAD_TTL.max(self.report_interval.mul_f64(PEER_LOAD_INTERVALS))
    }

    /// age of the loads in the peers' last reports
    pub(super) fn reports_age(&self, now: Instant) -> Duration {
        let received = self.peer_loads.values().map(|report| report.received_at);
        let age = received
            .max()
            .map(|at| now.saturating_duration_since(at).min(self.peer_load_ttl()));
        age.unwrap_or_default() + self.report_interval.mul_f64(REPORT_DELAY_INTERVALS)
    }

    /// sets the load that a peer reported
    pub fn set_peer_loads(&mut self, peer: &str, loads: HashMap<String, Load>, now: Instant) {
        let loads = loads.into_iter().map(|(vm, load)| (vm, load.bounded()));
        let loads: HashMap<String, Load> = loads.collect();
        let services = self.services.iter();
        let averages = services.clone();
        let averages = averages.map(|(name, state)| (name.clone(), state.average(&loads)));
        let means = services.map(|(name, state)| (name.clone(), state.means(&loads)));
        let report = PeerLoads {
            received_at: now,
            means: means.collect(),
            averages: averages.collect(),
            loads,
        };
        self.peer_loads.insert(peer.to_owned(), report);
        let ttl = self.peer_load_ttl();
        self.peer_loads
            .retain(|_, report| now.saturating_duration_since(report.received_at) < ttl);
    }

    /// prompt tokens that waited at a VM on average by the peers' last reports, at the distance
    /// where this was most
    pub(super) fn peer_backlog(&self, service: &str, now: Instant) -> u64 {
        let mut sums = backlog::Means::default();
        for report in self.peer_loads.values() {
            let age = now.saturating_duration_since(report.received_at);
            if let Some(means) = report.means.get(service)
                && age < self.peer_load_ttl()
            {
                for (sum, mean) in sums.iter_mut().zip(means) {
                    *sum += mean;
                }
            }
        }
        sums.into_iter().max().unwrap_or_default()
    }

    /// returns the tokens that running requests hold in a VM's KV cache
    pub(super) fn held(&self, service: &str, id: &str, now: Instant) -> u64 {
        let Some(state) = self.services.get(service) else {
            return 0;
        };
        let entry = state.entries.get(id);
        entry.map_or(0, |entry| {
            self.load(service, entry, &state.learner.timing(), now).held
        })
    }

    /// returns the local and reported load at a VM
    ///
    /// Load pattern: nearly all VMs are full, and reports are seconds old. The one that seemed to have
    /// room got the requests of all daemons until the next report, 56 at once where others had 4. So
    /// while capacity is short, what peers have sent counts as evenly spread.
    pub(super) fn load(&self, service: &str, entry: &Entry, timing: &Timing, now: Instant) -> Load {
        self.load_at(service, entry, now, |load, age| {
            timing.after_prefill(load, age)
        })
    }

    /// returns the local load at a VM and the one that was last reported
    pub(super) fn reported_load(&self, service: &str, entry: &Entry, now: Instant) -> Load {
        self.load_at(service, entry, now, |load, _| *load)
    }

    fn load_at(
        &self,
        service: &str,
        entry: &Entry,
        now: Instant,
        at_present: impl Fn(&Load, Duration) -> Load,
    ) -> Load {
        let state = self.services.get(service);
        let is_even =
            self.daemons > MAX_DIRECT_DAEMONS && state.is_some_and(|state| state.is_short);
        let mut load = entry.local;
        if let Some(state) = state {
            load.add(&self.assumed_load(state, &entry.member, now));
        }
        for report in self.peer_loads.values() {
            let age = now.saturating_duration_since(report.received_at);
            if age >= self.peer_load_ttl() {
                continue;
            }
            if is_even {
                load.add(&report.averages.get(service).copied().unwrap_or_default());
            } else if let Some(peer_load) = report.loads.get(&entry.member.id) {
                load.add(&at_present(peer_load, age));
            }
        }
        load
    }
}
