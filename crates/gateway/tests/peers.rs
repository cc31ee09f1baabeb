//! Messages between daemons: each daemon is counted once on whatever path messages arrive.

use std::collections::HashMap;
use std::time::Duration;

use gateway::peers::{Peer, Report, Reports, Spending, Topology, counts_age};
use proptest::prelude::*;
use route::placement::{Load, Rate};
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
            rates: HashMap::from([(SERVICE.to_owned(), rate)]),
            counts: gateway::usage::Snapshot { windows: counts },
            ..Report::default()
        }
    }

    fn round(&mut self) {
        for peer in self.peers.clone() {
            let mut report = self.local_state(&peer);
            let reports = self.reports.get_mut(&peer.name).expect("a known daemon");
            let topology = reports.topology().clone();
            let mut zone_sum = None;
            if topology.forwards_sums() {
                zone_sum = Some(reports.zone_sum(&report, self.now));
                report.remote = Some(Box::new(reports.remote_sum(&report, self.now)));
            }
            for name in topology.group_peers() {
                self.deliver(name, report.clone());
            }
            for name in topology.remote_delegates() {
                self.deliver(
                    name,
                    zone_sum
                        .clone()
                        .expect("only daemons that forward sums have remote delegates"),
                );
            }
        }
        for peer in &self.peers {
            let reports = self.reports.get_mut(&peer.name).expect("a known daemon");
            let spending = reports.peer_spending(WORKSPACE, Duration::from_secs(1), self.now);
            *self.peer_spent.entry(peer.name.clone()).or_default() += spending.spent;
        }
        self.now += Duration::from_secs(1);
        self.age_ms += 1000;
    }

    fn deliver(&mut self, name: &str, report: Report) {
        self.messages += 1;
        let reports = self.reports.get_mut(name).expect("a known daemon");
        reports.receive(report, self.now);
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

#[test]
fn messages_grow_with_zone_size_plus_zones_and_not_with_their_product() {
    let mut fleet = Fleet::new(8, 49);
    fleet.round();
    let each = fleet.messages as f64 / fleet.peers.len() as f64;
    // 48 within the zone, and 14 from each of the 8 zones to other zones
    assert!(each < 49.0, "{each} messages per daemon and round");
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
    // 48 reports at 12 a second, and the exchange of sums
    assert!(age(6, 49) >= Duration::from_millis(4000 + 1200));
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
