//! Messages between daemons: each daemon is counted once on whatever path messages arrive.

mod exchange;

use std::collections::HashMap;
use std::time::Duration;

use exchange::Fleet;
use gateway::peers::{Peer, Report, Reports, Spending, Topology, counts_age};
use proptest::prelude::*;
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
