//! Limits that one daemon decides on for all daemons of several zones, over real connections.

mod support;

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use gateway::Settings;
use gateway::limits::{Charge, Owner, Ruling, charge, rule_for_peer};
use gateway::model::{Config, Limit, Unit, Workspace};
use gateway::peers::{Peers, exchange_reports};
use route::quota::Timeliness;
use support::{FakeStore, Harness, config, run, settings};
use tokio::task::spawn_local;
use tokio::time::Instant;

const WORKSPACE: &str = "workspace-1";
const RATE: f64 = 2.0;
const BURST: f64 = 40.0;
const PER_ZONE: usize = 7;
const DAEMONS: usize = 2 * PER_ZONE;

/// time within which a charge is decided, also if the owner is lost
const DECISION_TIME: Duration = Duration::from_millis(400);

/// time until all daemons have the next owner when one announces that it stops, which serves for at
/// least this time
const HAND_OVER_TIME: Duration = Duration::from_millis(3000);

fn limited_config() -> Config {
    let mut config = config(1);
    let workspace = Rc::new(Workspace {
        name: WORKSPACE.to_owned(),
        priority: None,
        limit: Some(Limit {
            unit: Unit::Requests,
            rate: RATE,
            burst: BURST,
        }),
    });
    for key in config.keys.values_mut() {
        *key = Rc::clone(&workspace);
    }
    config
}

/// number of tests that have started daemons
static STARTED: AtomicU8 = AtomicU8::new(1);

/// a free port of a loopback address that no other daemon here uses, since tests run side by side
fn free_address(test: u8, number: usize) -> SocketAddr {
    let number = u8::try_from(number).expect("a small number");
    let listener =
        TcpListener::bind(SocketAddr::from(([127, 77, test, number + 1], 0))).expect("a free port");
    listener.local_addr().expect("a bound address")
}

fn daemon_settings(test: u8, number: usize) -> Settings {
    Settings {
        is_alone: false,
        name: format!("daemon-{number}"),
        zone: format!("zone-{}", number / PER_ZONE),
        peers: free_address(test, number),
        ..settings()
    }
}

/// starts daemons in two zones and waits until each knows the same owner of the limit
async fn start_daemons() -> Vec<Harness> {
    let store = FakeStore::new();
    store.configure(limited_config);
    let test = STARTED.fetch_add(1, Ordering::Relaxed);
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        let harness = Harness::with(daemon_settings(test, number), store.clone());
        let settings = &harness.shared.settings;
        let peers = Peers::new(&settings.name, &settings.zone);
        let (shared, store) = (Rc::clone(&harness.shared), Rc::new(store.clone()));
        spawn_local(exchange_reports(shared, store, peers));
        daemons.push(harness);
    }
    for daemon in &daemons {
        daemon
            .wait_until(|daemon| {
                let has_limit = daemon.shared.quotas.borrow().contains_key(WORKSPACE);
                let members = daemon.shared.owners.node().map(|node| node.members().len());
                let is_complete = members == Some(DAEMONS);
                has_limit && is_complete && owner(daemon) != Owner::Nobody
            })
            .await;
    }
    daemons
}

fn owner(daemon: &Harness) -> Owner {
    daemon.shared.owners.find(WORKSPACE, Instant::now())
}

fn position_of_owner(daemons: &[Harness]) -> usize {
    let position = daemons
        .iter()
        .position(|daemon| owner(daemon) == Owner::Local);
    position.expect("an owner")
}

/// charges requests one after the other; returns the number of granted ones
async fn charge_times(daemon: &Harness, times: usize) -> usize {
    let mut granted = 0;
    for _ in 0..times {
        let started = Instant::now();
        let charged = charge(&daemon.shared, WORKSPACE, 1.0, Timeliness::InTime).await;
        let took = started.elapsed();
        assert!(took < DECISION_TIME, "decided after {took:?}");
        granted += usize::from(charged.is_ok());
    }
    granted
}

#[test]
fn daemon_with_all_the_traffic_gets_the_whole_limit_and_the_others_get_the_rest() {
    run(async {
        let daemons = start_daemons().await;
        let owner = position_of_owner(&daemons);
        let busy = (owner + 1) % DAEMONS;
        let started = Instant::now();
        let first = charge_times(&daemons[busy], 36).await;
        assert_eq!(first, 36);
        let granted = Rc::new(Cell::new(first));
        let mut tasks = Vec::new();
        for daemon in &daemons {
            let shared = Rc::clone(&daemon.shared);
            let granted = Rc::clone(&granted);
            tasks.push(spawn_local(async move {
                for _ in 0..10 {
                    if charge(&shared, WORKSPACE, 1.0, Timeliness::InTime)
                        .await
                        .is_ok()
                    {
                        granted.set(granted.get() + 1);
                    }
                }
            }));
        }
        for task in tasks {
            task.await.expect("the task ends");
        }
        let allowed = BURST + RATE * started.elapsed().as_secs_f64();
        let granted = granted.get() as f64;
        assert!(granted <= allowed, "{granted} of {allowed}");
        assert!(granted >= BURST, "{granted} of {allowed}");
    });
}

#[test]
fn refused_callers_learn_when_units_are_available() {
    run(async {
        let daemons = start_daemons().await;
        let owner = position_of_owner(&daemons);
        let busy = &daemons[(owner + 1) % DAEMONS];
        charge_times(busy, 41).await;
        let waits = [
            charge(&busy.shared, WORKSPACE, 1.0, Timeliness::InTime).await,
            charge(&busy.shared, WORKSPACE, 1.0, Timeliness::InTime).await,
        ];
        let [Err(first), Err(second)] = waits else {
            panic!("granted beyond the limit: {waits:?}");
        };
        let time_of_one = Duration::from_secs_f64(1.0 / RATE);
        assert!(second > first, "{second:?} after {first:?}");
        assert!(second < 4 * time_of_one, "{second:?}");
    });
}

#[test]
fn deputy_decides_while_the_owner_is_lost_and_then_the_next_owner() {
    run(async {
        let daemons = start_daemons().await;
        let lost = position_of_owner(&daemons);
        let node = daemons[lost].shared.owners.node().expect("a node");
        node.stop().await;
        let others: Vec<&Harness> = daemons
            .iter()
            .enumerate()
            .filter(|(position, _)| *position != lost)
            .map(|(_, daemon)| daemon)
            .collect();
        // more than the share of one daemon, decided at once, whoever is asked
        assert_eq!(charge_times(others[0], 12).await, 12);
        let name = &daemons[lost].shared.settings.name;
        for daemon in &others {
            daemon
                .wait_until(|daemon| match owner(daemon) {
                    Owner::Local => true,
                    Owner::Peer(member) => member.vm != *name,
                    Owner::Nobody => false,
                })
                .await;
        }
        assert_eq!(charge_times(others[1], 10).await, 10);
    });
}

#[test]
fn owner_that_stops_hands_its_limits_over_at_once() {
    run(async {
        let daemons = start_daemons().await;
        let leaving = position_of_owner(&daemons);
        let name = daemons[leaving].shared.settings.name.clone();
        let node = daemons[leaving].shared.owners.node().expect("a node");
        node.start_drain().await;
        let started = Instant::now();
        for daemon in &daemons {
            daemon
                .wait_until(|daemon| match owner(daemon) {
                    Owner::Local => daemon.shared.settings.name != name,
                    Owner::Peer(member) => member.vm != name,
                    Owner::Nobody => false,
                })
                .await;
        }
        assert!(
            started.elapsed() < HAND_OVER_TIME,
            "{:?}",
            started.elapsed()
        );
        let busy = &daemons[(leaving + 1) % DAEMONS];
        assert_eq!(charge_times(busy, 30).await, 30);
    });
}

#[test]
fn daemon_that_is_not_the_owner_does_not_decide() {
    run(async {
        let daemons = start_daemons().await;
        let owner = position_of_owner(&daemons);
        let charge = Charge {
            workspace: WORKSPACE.to_owned(),
            zone: "zone-0".to_owned(),
            units: 1.0,
            refused: 0.0,
            is_late: false,
        };
        let other = &daemons[(owner + 1) % DAEMONS];
        assert_eq!(rule_for_peer(&other.shared, &charge), Ruling::NotOwner);
        assert_eq!(
            rule_for_peer(&daemons[owner].shared, &charge),
            Ruling::Granted
        );
    });
}

#[test]
fn smaller_side_of_a_partition_grants_only_its_part() {
    run(async {
        let harness = Harness::with(settings(), FakeStore::new());
        let owners = &harness.shared.owners;
        let now = Instant::now();
        owners.set_daemons(84, 84, now);
        assert_eq!(owners.part(), 1.0);
        owners.set_daemons(70, 84, now);
        assert_eq!(owners.part(), 1.0, "the larger side");
        owners.set_daemons(14, 14, now);
        assert!(
            (owners.part() - 14.0 / 84.0).abs() < 1e-9,
            "the smaller side"
        );
        owners.set_daemons(84, 84, now);
        assert_eq!(owners.part(), 1.0);
        owners.set_daemons(30, 30, now + Duration::from_secs(61));
        assert_eq!(owners.part(), 1.0, "a deployment that became smaller");
    });
}
