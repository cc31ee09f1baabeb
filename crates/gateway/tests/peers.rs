//! Messages between daemons: each daemon is counted once on whatever path messages arrive.

use std::collections::HashMap;
use std::time::Duration;

use gateway::peers::{Peer, Report, Reports, Spending, Topology, counts_age};
use proptest::prelude::*;
use route::placement::{Load, Prefill, Rate};
use route::trust::Role;
use tokio::time::Instant;

const SERVICE: &str = "llm";
const WORKSPACE: &str = "workspace-1";

fn fleet(zones: usize, per_zone: usize) -> Vec<Peer> {
    let peer = |(zone, number): (usize, usize)| Peer {
        name: format!("daemon-{zone}-{number}"),
        zone: format!("zone-{zone}"),
    };
    let positions = (0..zones).flat_map(|zone| (0..per_zone).map(move |number| (zone, number)));
    positions.map(peer).collect()
}

/// daemons that exchange messages in rounds
struct Fleet {
    peers: Vec<Peer>,
    reports: HashMap<String, Reports>,
    spent: HashMap<String, f64>,
    peer_spent: HashMap<String, f64>,
    age_ms: u64,
    now: Instant,
    messages: usize,
    round: usize,
    /// daemons that no longer send or answer
    lost: Vec<String>,
    /// reports that each daemon applied last, by sender
    applied: HashMap<String, HashMap<String, Report>>,
    /// prompt parts that each daemon was told of
    prefills: HashMap<String, Vec<u64>>,
}

impl Fleet {
    fn new(zones: usize, per_zone: usize) -> Fleet {
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
    fn local_state(&self, peer: &Peer) -> Report {
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
    fn part(&self, peer: &Peer) -> u64 {
        let position = self.peers.iter().position(|other| other == peer);
        (self.round * 1000 + position.expect("a known daemon")) as u64
    }

    fn round(&mut self) {
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
    fn answer(&mut self, delegate: &str, report: &Report) {
        let reports = self.reports.get_mut(delegate).expect("a known daemon");
        let others = reports.others(report, self.now);
        self.deliver(&report.from, others);
    }

    fn deliver(&mut self, name: &str, report: Report) {
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
    fn remove(&mut self, names: &[String]) {
        self.lost.extend_from_slice(names);
        self.peers.retain(|peer| !names.contains(&peer.name));
        for peer in &self.peers {
            let reports = self.reports.get_mut(&peer.name).expect("a known daemon");
            reports.set_topology(Topology::new(peer.clone(), &self.peers));
        }
    }

    /// requests of other daemons in flight at the VM, as a daemon knows them
    fn known_load(&self, name: &str) -> u32 {
        let reports = self.applied.get(name).into_iter().flat_map(HashMap::values);
        reports
            .filter_map(|report| report.loads.get("vm-1"))
            .map(|load| load.running)
            .sum()
    }
}

/// asserts that every daemon has the rates, counts, demand and spending of all others
fn assert_totals(fleet: &mut Fleet) {
    let others = (fleet.peers.len() - 1) as f64;
    for peer in fleet.peers.clone() {
        let now = fleet.now;
        let reports = fleet.reports.get_mut(&peer.name).expect("a known daemon");
        assert_eq!(reports.rate(SERVICE, now).requests, others, "{}", peer.name);
        assert_eq!(
            reports.counts(7).get(WORKSPACE),
            Some(&(3 * others as u64)),
            "{}",
            peer.name
        );
        let demand = reports.peer_spending(WORKSPACE, Duration::ZERO, now).demand;
        assert_eq!(demand, 10.0 * others, "{}", peer.name);
        assert_eq!(fleet.peer_spent[&peer.name], 50.0 * others, "{}", peer.name);
    }
}

#[test]
fn every_daemon_has_the_totals_of_all_after_five_rounds() {
    for (zones, per_zone) in [(1, 1), (3, 3), (3, 4), (1, 20), (6, 11), (8, 49)] {
        let mut fleet = Fleet::new(zones, per_zone);
        fleet.round();
        fleet.round();
        for peer in fleet.peers.clone() {
            fleet.spent.insert(peer.name, 50.0);
        }
        for _ in 0..5 {
            fleet.round();
        }
        if zones * per_zone > 1 {
            assert_totals(&mut fleet);
        }
    }
}

/// to the delegate, to the delegates of the other zones, to their daemons
#[test]
fn loads_of_all_daemons_are_known_within_three_rounds() {
    for (zones, per_zone) in [(3, 4), (6, 14), (8, 49)] {
        let mut fleet = Fleet::new(zones, per_zone);
        fleet.round();
        fleet.round();
        fleet.round();
        for peer in &fleet.peers {
            let load = fleet.known_load(&peer.name) as usize;
            assert_eq!(load, zones * per_zone - 1, "{} of {zones} zones", peer.name);
        }
    }
}

#[test]
fn loss_of_a_delegate_or_of_both_leaves_no_daemon_without_the_others() {
    for delegates in [1, 2] {
        let mut fleet = Fleet::new(3, 14);
        for _ in 0..3 {
            fleet.round();
        }
        let zone = |peer: &&Peer| peer.zone == "zone-1";
        let is_delegate = |peer: &&Peer| fleet.reports[&peer.name].topology().is_delegate();
        let names: Vec<String> = fleet
            .peers
            .iter()
            .filter(zone)
            .filter(is_delegate)
            .take(delegates)
            .map(|peer| peer.name.clone())
            .collect();
        assert_eq!(names.len(), delegates);
        fleet.lost = names.clone();
        // not noticed yet
        fleet.round();
        fleet.round();
        fleet.remove(&names);
        for _ in 0..4 {
            fleet.round();
        }
        let now = fleet.now;
        for peer in fleet.peers.clone() {
            let reports = &fleet.reports[&peer.name];
            let rate = reports.rate(SERVICE, now).requests;
            let lost = delegates as f64;
            // reports of the lost ones count for a time
            assert!(
                (41.0 - lost..=41.0).contains(&rate),
                "{}: {rate} requests, {delegates} delegates lost",
                peer.name
            );
        }
    }
}

#[test]
fn every_prefill_is_told_to_every_other_daemon_once() {
    let mut fleet = Fleet::new(3, 14);
    for _ in 0..6 {
        fleet.round();
    }
    for peer in &fleet.peers {
        let mut told = fleet.prefills[&peer.name].clone();
        let count = told.len();
        told.sort_unstable();
        told.dedup();
        assert_eq!(told.len(), count, "{} was told twice", peer.name);
        // those of the third round have arrived everywhere
        let third = told.iter().filter(|part| **part / 1000 == 3).count();
        assert_eq!(third, 41, "{}", peer.name);
    }
}

#[test]
fn messages_grow_with_zone_size_plus_zones_and_not_with_their_product() {
    let mut fleet = Fleet::new(8, 49);
    fleet.round();
    let each = fleet.messages as f64 / fleet.peers.len() as f64;
    // two reports and an answer, and 14 from each of the 8 zones to other zones
    assert!(each < 4.0, "{each} messages per daemon and round");
}

#[test]
fn restarted_daemon_is_counted_from_its_restart() {
    let mut fleet = Fleet::new(2, 2);
    fleet.round();
    let receiver = fleet.peers[0].name.clone();
    let mut report = fleet.local_state(&fleet.peers[1].clone());
    report.spending.insert(
        WORKSPACE.to_owned(),
        Spending {
            demand: 0.0,
            spent: 500.0,
        },
    );
    let now = fleet.now;
    let reports = fleet.reports.get_mut(&receiver).expect("a known daemon");
    reports.receive(report.clone(), now);
    assert_eq!(
        reports.peer_spending(WORKSPACE, Duration::ZERO, now).spent,
        500.0
    );
    // the new process has spent 40, regardless of the previous one
    report.instance = 2;
    report.spending.insert(
        WORKSPACE.to_owned(),
        Spending {
            demand: 0.0,
            spent: 40.0,
        },
    );
    reports.receive(report.clone(), now);
    assert_eq!(
        reports.peer_spending(WORKSPACE, Duration::ZERO, now).spent,
        40.0
    );
    // an unknown daemon that has run for long spent its units at an unknown time
    report.from = "daemon-9".to_owned();
    report.age_ms = 60_000;
    reports.receive(report, now);
    assert_eq!(
        reports.peer_spending(WORKSPACE, Duration::ZERO, now).spent,
        0.0
    );
}

proptest! {
    /// spending is never counted twice when messages are lost or repeated
    #[test]
    fn spending_is_counted_once(deliveries in prop::collection::vec((any::<bool>(), 1usize..3), 1..40)) {
        let now = Instant::now();
        let receiver = Peer { name: "me".to_owned(), zone: "zone-0".to_owned() };
        let other = Peer { name: "other".to_owned(), zone: "zone-0".to_owned() };
        let mut reports = Reports::new(receiver.clone());
        reports.set_topology(Topology::new(receiver, std::slice::from_ref(&other)));
        let (mut spent, mut last, mut counted) = (0.0, 0.0, 0.0);
        for (is_lost, times) in deliveries {
            spent += 10.0;
            if is_lost {
                continue;
            }
            for _ in 0..times {
                let spending = Spending { demand: 0.0, spent };
                let report = Report {
                    from: other.name.clone(),
                    zone: other.zone.clone(),
                    spending: HashMap::from([(WORKSPACE.to_owned(), spending)]),
                    ..Report::default()
                };
                reports.receive(report, now);
            }
            last = spent;
            counted += reports.peer_spending(WORKSPACE, Duration::ZERO, now).spent;
        }
        prop_assert_eq!(counted, last);
    }
}

#[test]
fn each_group_has_one_watcher_and_one_standby() {
    for (zones, per_zone, groups) in [(1, 1, 1), (3, 3, 1), (6, 12, 6)] {
        let peers = fleet(zones, per_zone);
        let topologies = peers.iter().map(|peer| Topology::new(peer.clone(), &peers));
        let roles: Vec<Role> = topologies.map(|topology| topology.role()).collect();
        let count = |role| roles.iter().filter(|other| **other == role).count();
        let standbys = if zones * per_zone > 1 { groups } else { 0 };
        assert_eq!(count(Role::Watcher), groups, "{zones} zones of {per_zone}");
        assert_eq!(
            count(Role::Standby),
            standbys,
            "{zones} zones of {per_zone}"
        );
    }
}

/// the holder of the lease takes a window as complete only after the counts of all have arrived
#[test]
fn age_of_counts_covers_a_round_of_reports_and_the_sums_of_zones() {
    let age = |zones, per_zone| {
        let peers = fleet(zones, per_zone);
        counts_age(&Topology::new(peers[0].clone(), &peers))
    };
    assert!(age(1, 8) < Duration::from_millis(2500));
    // two rounds of 48 answers at 50 a second, and the exchange of sums between them
    assert!(age(6, 49) >= Duration::from_millis(960 + 800 + 960));
    // usage is due 10 s after its window, and a successor needs 3 s
    assert!(age(6, 49) <= Duration::from_millis(7000));
}

#[test]
fn standby_follows_the_watcher_and_followers_both() {
    let peers = fleet(1, 20);
    let topologies: Vec<Topology> = peers
        .iter()
        .map(|peer| Topology::new(peer.clone(), &peers))
        .collect();
    let name = |role| {
        let index = topologies
            .iter()
            .position(|topology| topology.role() == role);
        peers[index.expect("a daemon with this role")].name.clone()
    };
    let (watcher, standby) = (name(Role::Watcher), name(Role::Standby));
    for topology in topologies {
        let followed = &topology.group_peers()[..topology.followed_peers()];
        match topology.role() {
            Role::Watcher => {}
            Role::Standby => assert_eq!(followed, std::slice::from_ref(&watcher)),
            Role::Follower => assert_eq!(followed, [watcher.clone(), standby.clone()]),
        }
    }
}
