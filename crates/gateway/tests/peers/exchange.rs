//! Daemons that exchange reports in rounds, without connections.

use std::collections::HashMap;
use std::time::Duration;

use gateway::peers::{Peer, Report, Reports, Spending, Topology};
use route::placement::{Load, Prefill, Rate};
use tokio::time::Instant;

use super::{SERVICE, WORKSPACE, fleet};

/// daemons that exchange messages in rounds
pub struct Fleet {
    pub peers: Vec<Peer>,
    pub reports: HashMap<String, Reports>,
    pub spent: HashMap<String, f64>,
    pub peer_spent: HashMap<String, f64>,
    pub age_ms: u64,
    pub now: Instant,
    pub messages: usize,
    pub round: usize,
    /// daemons that no longer send or answer
    pub lost: Vec<String>,
    /// reports that each daemon applied last, by sender
    pub applied: HashMap<String, HashMap<String, Report>>,
    /// prompt parts that each daemon was told of
    pub prefills: HashMap<String, Vec<u64>>,
}

impl Fleet {
    pub fn new(zones: usize, per_zone: usize) -> Fleet {
        let peers = fleet(zones, per_zone);
        let reports = |peer: &Peer| {
            let mut reports = Reports::new(peer.clone());
            reports.set_topology(Topology::new(peer.clone(), &peers));
            (peer.name.clone(), reports)
        };
        Fleet {
            reports: peers.iter().map(reports).collect(),
            spent: HashMap::new(),
            peer_spent: HashMap::new(),
            peers,
            age_ms: 0,
            now: Instant::now(),
            messages: 0,
            round: 0,
            lost: Vec::new(),
            applied: HashMap::new(),
            prefills: HashMap::new(),
        }
    }

    /// the local state of a daemon: one running request, one new request and its spending
    pub fn local_state(&self, peer: &Peer) -> Report {
        let spending = Spending {
            demand: 10.0,
            spent: self.spent.get(&peer.name).copied().unwrap_or_default(),
        };
        let load = Load {
            running: 1,
            prefill_tokens: 100,
            held: 200,
        };
        let rate = Rate {
            requests: 1.0,
            prefill_tokens: 100.0,
        };
        let counts = HashMap::from([(7, HashMap::from([(WORKSPACE.to_owned(), 3)]))]);
        let counts = counts
            .into_iter()
            .map(|(window, counts)| (window, counts.into_iter().collect()))
            .collect();
        Report {
            from: peer.name.clone(),
            zone: peer.zone.clone(),
            instance: 1,
            age_ms: self.age_ms,
            loads: HashMap::from([("vm-1".to_owned(), load)]),
            spending: HashMap::from([(WORKSPACE.to_owned(), spending)]),
            prefills: vec![Prefill {
                service: SERVICE.to_owned(),
                vm: "vm-1".to_owned(),
                parts: vec![(self.part(peer), 100)],
            }],
            rates: HashMap::from([(SERVICE.to_owned(), rate)]),
            counts: gateway::usage::Snapshot { windows: counts },
            ..Report::default()
        }
    }

    /// the prompt part that a daemon sends in this round, unlike all others
    pub fn part(&self, peer: &Peer) -> u64 {
        let position = self.peers.iter().position(|other| other == peer);
        (self.round * 1000 + position.expect("a known daemon")) as u64
    }

    pub fn round(&mut self) {
        for peer in self.peers.clone() {
            if self.lost.contains(&peer.name) {
                continue;
            }
            let report = self.local_state(&peer);
            let reports = self.reports.get_mut(&peer.name).expect("a known daemon");
            reports.set_local(report.clone());
            let topology = reports.topology().clone();
            if topology.forwards_sums() {
                let sum = reports.zone_sum(self.now);
                for name in topology.remote_delegates() {
                    self.deliver(name, sum.clone());
                }
            }
            for name in topology.reported_peers() {
                self.deliver(name, report.clone());
            }
            if topology.has_remote_zones() && !topology.is_delegate() {
                // a delegate that did not answer is not the one asked next
                let mut delegates = topology.reported_peers().iter();
                if let Some(delegate) = delegates.find(|delegate| !self.lost.contains(delegate)) {
                    self.answer(delegate, &report);
                }
            }
        }
        self.round += 1;
        for peer in &self.peers {
            let reports = self.reports.get_mut(&peer.name).expect("a known daemon");
            let spending = reports.peer_spending(WORKSPACE, Duration::from_secs(1), self.now);
            *self.peer_spent.entry(peer.name.clone()).or_default() += spending.spent;
        }
        self.now += Duration::from_secs(1);
        self.age_ms += 1000;
    }

    /// lets a delegate answer a report with those of all other daemons
    pub fn answer(&mut self, delegate: &str, report: &Report) {
        let reports = self.reports.get_mut(delegate).expect("a known daemon");
        let others = reports.others(report, self.now);
        self.deliver(&report.from, others);
    }

    pub fn deliver(&mut self, name: &str, report: Report) {
        self.messages += 1;
        if self.lost.iter().any(|lost| lost == name) {
            return;
        }
        let reports = self.reports.get_mut(name).expect("a known daemon");
        if let Some(report) = reports.receive(report, self.now) {
            let parts = report.prefills.iter().flat_map(|prefill| &prefill.parts);
            let told = self.prefills.entry(name.to_owned()).or_default();
            told.extend(parts.map(|(part, _)| *part));
            let applied = self.applied.entry(name.to_owned()).or_default();
            applied.insert(report.from.clone(), report.clone());
        }
    }

    /// tells the remaining daemons that some are gone
    pub fn remove(&mut self, names: &[String]) {
        self.lost.extend_from_slice(names);
        self.peers.retain(|peer| !names.contains(&peer.name));
        for peer in &self.peers {
            let reports = self.reports.get_mut(&peer.name).expect("a known daemon");
            reports.set_topology(Topology::new(peer.clone(), &self.peers));
        }
    }

    /// requests of other daemons in flight at the VM, as a daemon knows them
    pub fn known_load(&self, name: &str) -> u32 {
        let reports = self.applied.get(name).into_iter().flat_map(HashMap::values);
        reports
            .filter_map(|report| report.loads.get("vm-1"))
            .map(|load| load.running)
            .sum()
    }
}
