//! A store that is away for a moment and returns with its content of some seconds before.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use gateway::Settings;
use gateway::checkpoint::{Record, restore};
use gateway::model::Health;
use gateway::peers::{Peers, exchange_reports};
use route::trust::Trust;
use support::{FakeStore, FakeVm, Harness, Script, config, config_with, run, settings};
use tokio::task::spawn_local;
use tokio::time::sleep;

async fn start_vm(id: &str) -> FakeVm {
    FakeVm::start(id, "desk", Script::response(200, id)).await
}

/// waits until the gateway has seen the latest generation
async fn wait_for_restore(harness: &Harness) {
    let generation = harness.store.revision().generation;
    harness
        .wait_until(|harness| harness.shared.generation.current() == generation)
        .await;
}

fn version(harness: &Harness) -> Option<u64> {
    harness.shared.config().map(|config| config.version)
}

#[test]
fn newer_configuration_is_kept_until_the_operator_writes_again() {
    run(async {
        let harness = Harness::start().await;
        let vm = start_vm("vm-1").await;
        harness.register(&[&vm]).await;
        let copy = harness.store.copy();
        harness.store.configure(|| config_with(5, &["key-5"]));
        harness
            .wait_until(|harness| version(harness) == Some(5))
            .await;
        harness.store.restore(&copy);
        wait_for_restore(&harness).await;
        sleep(Duration::from_millis(1500)).await;
        assert_eq!(version(&harness), Some(5));
        assert_eq!(
            harness.call("POST", "/once/", "id-1").await.status,
            401,
            "a revoked key"
        );
        assert_eq!(harness.shared.trust(), Trust::Current);
        // the operator writes the version again with other content, then a later one
        harness
            .store
            .configure(|| config_with(5, &["key-1", "key-5"]));
        sleep(Duration::from_millis(500)).await;
        assert_eq!(harness.call("POST", "/once/", "id-2").await.status, 200);
        harness.store.configure(|| config_with(6, &["key-6"]));
        harness
            .wait_until(|harness| version(harness) == Some(6))
            .await;
    });
}

#[test]
fn change_with_a_revision_that_is_given_out_again_is_seen() {
    run(async {
        let harness = Harness::start().await;
        let (kept, lost) = (start_vm("vm-1").await, start_vm("vm-2").await);
        harness.register(&[&kept]).await;
        let copy = harness.store.copy();
        harness.register(&[&lost]).await;
        let before = harness.store.revision();
        harness.store.restore(&copy);
        // another change takes the revision up to which the gateway has watched
        harness.store.delete("vms", "vm-1");
        assert_eq!(harness.store.revision().number, before.number);
        harness.store.register(&lost.vm);
        harness
            .wait_until(|harness| !harness.shared.vms.borrow().contains_key("vm-1"))
            .await;
        assert_eq!(harness.call("POST", "/once/", "id-1").await.body, "vm-2");
    });
}

#[test]
fn vm_that_registered_after_the_copy_is_used_until_it_registers_again() {
    run(async {
        let harness = Harness::start().await;
        let (first, second) = (start_vm("vm-1").await, start_vm("vm-2").await);
        let copy = harness.store.copy();
        harness.register(&[&first, &second]).await;
        harness.store.restore(&copy);
        wait_for_restore(&harness).await;
        sleep(Duration::from_millis(300)).await;
        assert_eq!(harness.shared.vms.borrow().len(), 2);
        assert_eq!(harness.call("POST", "/once/", "id-1").await.status, 200);
        harness.store.register(&first.vm);
        harness
            .wait_until(|harness| !harness.shared.vms.borrow().contains_key("vm-2"))
            .await;
        assert_eq!(harness.call("POST", "/once/", "id-2").await.body, "vm-1");
    });
}

#[test]
fn vm_that_was_removed_after_the_copy_is_not_used_again() {
    run(async {
        let harness = Harness::start().await;
        let (live, gone) = (start_vm("vm-1").await, start_vm("vm-2").await);
        harness.register(&[&live, &gone]).await;
        let copy = harness.store.copy();
        harness.store.delete("vms", "vm-2");
        harness
            .wait_until(|harness| harness.shared.vms.borrow().len() == 1)
            .await;
        harness.store.restore(&copy);
        wait_for_restore(&harness).await;
        sleep(Duration::from_millis(500)).await;
        for number in 0..10 {
            let id = format!("id-{number}");
            assert_eq!(harness.call("POST", "/once/", &id).await.body, "vm-1");
        }
        // one that writes its entry again is live after all
        harness.store.register(&gone.vm);
        harness
            .wait_until(|harness| harness.shared.vms.borrow().contains_key("vm-2"))
            .await;
    });
}

#[test]
fn entry_that_stays_after_a_restore_is_used_after_a_wait() {
    run(async {
        let harness = Harness::start().await;
        let vm = start_vm("vm-1").await;
        harness.register(&[&vm]).await;
        let copy = harness.store.copy();
        harness.store.delete("vms", "vm-1");
        harness
            .wait_until(|harness| harness.shared.vms.borrow().is_empty())
            .await;
        harness.store.restore(&copy);
        wait_for_restore(&harness).await;
        assert_eq!(harness.call("POST", "/once/", "id-1").await.status, 503);
        // an entry that is identical to the restored one is no change, so nothing is seen of it
        harness
            .wait_until(|harness| harness.shared.vms.borrow().contains_key("vm-1"))
            .await;
    });
}

#[test]
fn vm_that_drained_after_the_copy_stays_excluded() {
    run(async {
        let harness = Harness::start().await;
        let vm = start_vm("vm-1").await;
        harness.register(&[&vm]).await;
        let copy = harness.store.copy();
        let mut draining = vm.vm.clone();
        draining.health = Health::Draining;
        harness.store.register(&draining);
        harness
            .wait_until(|harness| harness.shared.placement.borrow().vm_count("desk") == 0)
            .await;
        for _ in 0..2 {
            harness.store.restore(&copy);
            wait_for_restore(&harness).await;
            sleep(Duration::from_millis(300)).await;
            assert_eq!(harness.call("POST", "/once/", "id-1").await.status, 503);
        }
    });
}

#[test]
fn limits_of_an_outdated_checkpoint_are_not_restored() {
    run(async {
        let harness = Harness::start().await;
        let mut settings = support::settings();
        settings.is_first_start = false;
        let record = serde_json::json!({
            "at_ms": 1, "generation": 0, "daemons": 3,
            "limits": { "workspace-1": [900, 0] }, "windows": {},
        });
        harness.store.put("checkpoints", "latest", record);
        let copy = harness.store.copy();
        for (restores, limits) in [(0, 1), (1, 0)] {
            let restarted = Harness::with(settings.clone(), harness.store.clone());
            restore(&restarted.shared, &harness.store).await;
            let restored = restarted.shared.restored.borrow();
            let record: &Record = restored.as_ref().expect("a checkpoint");
            assert_eq!(record.limits.len(), limits, "{restores} restores");
            assert_eq!(record.daemons, 3);
            harness.store.restore(&copy);
        }
    });
}

/// the copy was made before the daemons met; one starts before the others have written again
#[test]
fn daemons_find_each_other_after_a_restore_that_lost_their_keys() {
    run(async {
        let store = FakeStore::new();
        store.configure(|| config(1));
        let copy = store.copy();
        let first = start_daemon(&store, 1, true);
        first
            .wait_until(|first| first.shared.owners.node().is_some())
            .await;
        let keys = store.spec("fleet", "keys").expect("keys");
        first.wait_until(|first| first.shared.is_ready()).await;
        store.restore(&copy);
        assert_eq!(store.spec("fleet", "keys"), None);
        let second = start_daemon(&store, 2, false);
        let members =
            |daemon: &Harness| daemon.shared.owners.node().map(|node| node.members().len());
        for daemon in [&first, &second] {
            daemon.wait_until(|daemon| members(daemon) == Some(2)).await;
        }
        assert_eq!(store.spec("fleet", "keys"), Some(keys));
        assert!(store.spec("daemons", "daemon-1").is_some());
    });
}

fn start_daemon(store: &FakeStore, number: u8, is_first_start: bool) -> Harness {
    let listener = TcpListener::bind(SocketAddr::from(([127, 78, 0, number], 0)));
    let peers = listener.and_then(|listener| listener.local_addr());
    let settings = Settings {
        is_alone: false,
        is_first_start,
        name: format!("daemon-{number}"),
        peers: peers.expect("a free port"),
        ..settings()
    };
    let harness = Harness::with(settings, store.clone());
    let settings = &harness.shared.settings;
    let peers = Peers::new(&settings.name, &settings.zone);
    let (shared, store) = (Rc::clone(&harness.shared), Rc::new(store.clone()));
    spawn_local(exchange_reports(shared, store, peers));
    harness
}
