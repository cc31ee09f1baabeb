//! What one daemon does for all: one at a time, and nothing twice.

mod support;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use gateway::duty::{self, Lease};
use gateway::peers::Peers;
use gateway::pool::Pool;
use gateway::{Settings, Shared};
use support::{Call, Cloudlet, Plain, Store, run, settings};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

/// one daemon's part in the duties
struct Daemon {
    shared: Rc<Shared<Plain>>,
    holder: Rc<Lease>,
    tasks: Vec<JoinHandle<()>>,
}

fn daemon_settings(name: &str) -> Settings {
    let mut settings = settings();
    settings.name = name.to_owned();
    settings.policy.lease = Duration::from_millis(1200);
    settings.policy.usage_window = Duration::from_millis(1000);
    settings.policy.usage_deadline = Duration::from_millis(5000);
    settings
}

impl Daemon {
    fn start(name: &str, store: &Store, cloud: &Cloudlet) -> Daemon {
        let shared = Shared::new(daemon_settings(name), Plain, Pool::new());
        let holder = Lease::new(&*shared, &Peers::new(name, "here"));
        let leasing = Rc::clone(&holder).run(Rc::new(store.clone()));
        let usage = duty::report_usage(
            Rc::clone(&shared),
            Rc::new(store.clone()),
            Rc::new(cloud.clone()),
            (Rc::clone(&holder), Peers::new(name, "here")),
        );
        Daemon {
            tasks: vec![spawn_local(leasing), spawn_local(usage)],
            shared,
            holder,
        }
    }

    fn kill(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..1200 {
        if holds() {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("{what} does not hold after 12 s");
}

#[test]
fn one_daemon_at_a_time_may_act_and_its_number_rises() {
    run(async {
        let (store, cloud) = (Store::new(), Cloudlet::default());
        let daemons: Vec<Daemon> = ["a", "b", "c"]
            .iter()
            .map(|name| Daemon::start(name, &store, &cloud))
            .collect();
        let mut last = 0;
        for _ in 0..2 {
            let alive = || {
                daemons
                    .iter()
                    .filter(|daemon| !daemon.tasks[0].is_finished())
            };
            until("one daemon holds", || {
                alive().any(|daemon| daemon.holder.permit().is_some())
            })
            .await;
            let permits: Vec<_> = alive()
                .filter_map(|daemon| daemon.holder.permit())
                .collect();
            assert_eq!(permits.len(), 1);
            assert!(permits[0].fence > last, "{} after {last}", permits[0].fence);
            last = permits[0].fence;
            let holder = alive().find(|daemon| daemon.holder.permit().is_some());
            holder.expect("a holder").kill();
            sleep(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn a_holder_that_can_not_renew_may_not_act_before_another_does() {
    run(async {
        let (store, cloud) = (Store::new(), Cloudlet::default());
        let daemon = Daemon::start("a", &store, &cloud);
        until("it holds", || daemon.holder.permit().is_some()).await;
        store.set_out(true);
        // the lease, counted from the last renewal
        sleep(Duration::from_millis(1200)).await;
        assert!(daemon.holder.permit().is_none());
        store.set_out(false);
        until("it holds again", || daemon.holder.permit().is_some()).await;
    });
}

fn reports(cloud: &Cloudlet) -> BTreeMap<u64, Vec<BTreeMap<String, u64>>> {
    let mut reports: BTreeMap<u64, Vec<BTreeMap<String, u64>>> = BTreeMap::new();
    for call in cloud.calls() {
        if let Call::Usage(_, window, counts) = call {
            reports.entry(window).or_default().push(counts);
        }
    }
    reports
}

#[test]
fn each_window_is_reported_with_one_count_also_by_a_successor() {
    run(async {
        let (store, cloud) = (Store::new(), Cloudlet::default());
        let first = Daemon::start("a", &store, &cloud);
        until("it holds", || first.holder.permit().is_some()).await;
        first
            .shared
            .tally
            .borrow_mut()
            .count("workspace-1", SystemTime::now());
        // reports arrive, and the first daemon is not told
        cloud.set_lost(true);
        until("it reports", || {
            reports(&cloud)
                .values()
                .flatten()
                .any(|counts| !counts.is_empty())
        })
        .await;
        first.kill();
        cloud.set_lost(false);
        // the successor knows of no request, but sends what was sent before
        let second = Daemon::start("b", &store, &cloud);
        until("the successor holds", || second.holder.permit().is_some()).await;
        sleep(Duration::from_millis(3000)).await;
        for (window, counts) in reports(&cloud) {
            assert!(
                counts.windows(2).all(|pair| pair[0] == pair[1]),
                "{window}: {counts:?}"
            );
        }
        let all = reports(&cloud);
        assert!(
            all.values()
                .flatten()
                .any(|counts| counts.get("workspace-1") == Some(&1))
        );
    });
}

#[test]
fn nothing_is_reported_while_the_store_does_not_take_the_counts() {
    run(async {
        let (store, cloud) = (Store::new(), Cloudlet::default());
        let daemon = Daemon::start("a", &store, &cloud);
        until("it holds", || daemon.holder.permit().is_some()).await;
        store.set_out(true);
        let before = cloud.calls().len();
        sleep(Duration::from_millis(2500)).await;
        assert_eq!(cloud.calls().len(), before);
    });
}
