//! Messages between daemons: each daemon is counted once on whatever path messages arrive.

use std::collections::HashMap;
use std::time::Duration;

use gateway::peers::{Peer, Report, Reports, Spending, Topology};
use proptest::prelude::*;
use route::placement::{Load, Rate};
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
    books: HashMap<String, Reports>,
    spent: HashMap<String, f64>,
    divided: HashMap<String, f64>,
    age_ms: u64,
    now: Instant,
    messages: usize,
}

impl Fleet {
    fn new(zones: usize, per_zone: usize) -> Fleet {
        let peers = fleet(zones, per_zone);
        let book = |peer: &Peer| {
            let mut book = Reports::new(peer.clone());
            book.set_topology(Topology::new(peer.clone(), &peers));
            (peer.name.clone(), book)
        };
        Fleet {
            books: peers.iter().map(book).collect(),
            spent: HashMap::new(),
            divided: HashMap::new(),
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
            unread: 100,
            held: 200,
        };
        let rate = Rate {
            requests: 1.0,
            unread: 100.0,
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
            let book = self.books.get_mut(&peer.name).expect("a known daemon");
            let plan = book.topology().clone();
            let mut far = None;
            if plan.forwards_sums() {
                far = Some(book.zone_sum(&report, self.now));
                report.remote = Some(Box::new(book.remote_sum(&report, self.now)));
            }
            for name in plan.group_peers() {
                self.deliver(name, report.clone());
            }
            for name in plan.remote_delegates() {
                self.deliver(
                    name,
                    far.clone()
                        .expect("only daemons that pass on messages send to other zones"),
                );
            }
        }
        for peer in &self.peers {
            let book = self.books.get_mut(&peer.name).expect("a known daemon");
            let others = book.peer_spending(WORKSPACE, Duration::from_secs(1), self.now);
            *self.divided.entry(peer.name.clone()).or_default() += others.spent;
        }
        self.now += Duration::from_secs(1);
        self.age_ms += 1000;
    }

    fn deliver(&mut self, name: &str, tell: Report) {
        self.messages += 1;
        let book = self.books.get_mut(name).expect("a known daemon");
        book.receive(tell, self.now);
    }
}

/// asserts that every daemon has the rates, counts, demand and spending of all others
fn assert_totals(fleet: &mut Fleet) {
    let others = (fleet.peers.len() - 1) as f64;
    for peer in fleet.peers.clone() {
        let now = fleet.now;
        let book = fleet.books.get_mut(&peer.name).expect("a known daemon");
        assert_eq!(book.rate(SERVICE, now).requests, others, "{}", peer.name);
        assert_eq!(
            book.counts(7).get(WORKSPACE),
            Some(&(3 * others as u64)),
            "{}",
            peer.name
        );
        let asked = book.peer_spending(WORKSPACE, Duration::ZERO, now).demand;
        assert_eq!(asked, 10.0 * others, "{}", peer.name);
        assert_eq!(fleet.divided[&peer.name], 50.0 * others, "{}", peer.name);
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
    let mut tell = fleet.local_state(&fleet.peers[1].clone());
    tell.spending.insert(
        WORKSPACE.to_owned(),
        Spending {
            demand: 0.0,
            spent: 500.0,
        },
    );
    let now = fleet.now;
    let book = fleet.books.get_mut(&receiver).expect("a known daemon");
    book.receive(tell.clone(), now);
    assert_eq!(
        book.peer_spending(WORKSPACE, Duration::ZERO, now).spent,
        500.0
    );
    // the new process has spent 40, regardless of the previous one
    tell.instance = 2;
    tell.spending.insert(
        WORKSPACE.to_owned(),
        Spending {
            demand: 0.0,
            spent: 40.0,
        },
    );
    book.receive(tell.clone(), now);
    assert_eq!(
        book.peer_spending(WORKSPACE, Duration::ZERO, now).spent,
        40.0
    );
    // an unknown daemon that has run for long spent its units at an unknown time
    tell.from = "daemon-9".to_owned();
    tell.age_ms = 60_000;
    book.receive(tell, now);
    assert_eq!(
        book.peer_spending(WORKSPACE, Duration::ZERO, now).spent,
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
        let mut book = Reports::new(receiver.clone());
        book.set_topology(Topology::new(receiver, std::slice::from_ref(&other)));
        let (mut spent, mut last, mut counted) = (0.0, 0.0, 0.0);
        for (is_lost, times) in deliveries {
            spent += 10.0;
            if is_lost {
                continue;
            }
            for _ in 0..times {
                let spending = Spending { demand: 0.0, spent };
                let tell = Report {
                    from: other.name.clone(),
                    zone: other.zone.clone(),
                    spending: HashMap::from([(WORKSPACE.to_owned(), spending)]),
                    ..Report::default()
                };
                book.receive(tell, now);
            }
            last = spent;
            counted += book.peer_spending(WORKSPACE, Duration::ZERO, now).spent;
        }
        prop_assert_eq!(counted, last);
    }
}

#[test]
fn two_daemons_per_zone_are_watchers() {
    for (zones, per_zone, watchers) in [(1, 1, 1), (3, 3, 2), (6, 12, 12)] {
        let peers = fleet(zones, per_zone);
        let plans = peers.iter().map(|peer| Topology::new(peer.clone(), &peers));
        let count = plans.filter(Topology::is_watcher).count();
        assert_eq!(count, watchers, "{zones} zones of {per_zone}");
    }
}
