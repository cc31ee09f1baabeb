//! Registration, draining and removal of VMs, and reports of them by peers.

mod support;

use std::time::Duration;

use gateway::follow::{self, Change, Revisions};
use gateway::model::{Health, Vm};
use support::{FakeVm, Harness, Script, run};
use tokio::time::sleep;

async fn start(id: &str) -> FakeVm {
    FakeVm::start(id, "desk", Script::response(200, id)).await
}

#[test]
fn draining_vm_receives_no_new_requests() {
    run(async {
        let harness = Harness::start().await;
        let (first, second) = (start("vm-1").await, start("vm-2").await);
        harness.register(&[&first, &second]).await;
        let mut draining = first.vm.clone();
        draining.health = Health::Draining;
        harness.store.register(&draining);
        harness
            .wait_until(|harness| harness.shared.placement.borrow().vm_count("desk") == 1)
            .await;
        for number in 0..20 {
            assert_eq!(
                harness
                    .call("POST", "/once/", &format!("id-{number}"))
                    .await
                    .body,
                "vm-2"
            );
        }
    });
}

#[test]
fn vm_is_removed_when_another_vm_uses_its_address() {
    run(async {
        let harness = Harness::start().await;
        let other = FakeVm::start("vm-1", "desk", Script::response(421, "")).await;
        harness.register(&[&other]).await;
        assert_eq!(harness.call("POST", "/once/", "id-1").await.status, 503);
        assert_eq!(harness.call("POST", "/once/", "id-2").await.status, 503);
        assert_eq!(other.requests().len(), 1);
    });
}

#[test]
fn invalid_entry_is_ignored_and_does_not_affect_other_vms() {
    run(async {
        let harness = Harness::start().await;
        let vm = start("vm-1").await;
        harness
            .store
            .put("vms", "vm-0", serde_json::json!([1, "two", null]));
        harness.register(&[&vm]).await;
        harness
            .store
            .put("vms", "vm-2", serde_json::json!({ "service": 5 }));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(harness.shared.vms.borrow().len(), 1);
        assert_eq!(harness.call("POST", "/once/", "id-1").await.status, 200);
        harness
            .store
            .put("vms", "vm-1", serde_json::json!({ "service": "desk" }));
        harness
            .wait_until(|harness| harness.shared.vms.borrow().is_empty())
            .await;
    });
}

#[test]
fn vms_missing_after_a_store_outage_are_removed_after_a_wait() {
    run(async {
        let harness = Harness::start().await;
        let (reregistered, missing) = (start("vm-1").await, start("vm-2").await);
        harness.register(&[&reregistered, &missing]).await;
        harness.store.set_unavailable(true);
        harness.store.delete("vms", "vm-1");
        harness.store.delete("vms", "vm-2");
        harness.store.drop_history();
        sleep(Duration::from_millis(3000)).await;
        harness.store.set_unavailable(false);
        sleep(Duration::from_millis(1200)).await;
        // the gateway lists at most 0.8 s after the outage and then waits for 2 s
        assert_eq!(
            harness.shared.vms.borrow().len(),
            2,
            "missing VMs are kept during the wait"
        );
        harness.store.register(&reregistered.vm);
        harness
            .wait_until(|harness| harness.shared.vms.borrow().contains_key("vm-1"))
            .await;
        harness
            .wait_until(|harness| !harness.shared.vms.borrow().contains_key("vm-2"))
            .await;
        assert_eq!(harness.call("POST", "/once/", "id-1").await.body, "vm-1");
    });
}

#[test]
fn deleted_vm_is_removed_at_once_without_an_outage() {
    run(async {
        let harness = Harness::start().await;
        let vm = start("vm-1").await;
        harness.register(&[&vm]).await;
        harness.store.delete("vms", "vm-1");
        let start = std::time::Instant::now();
        harness
            .wait_until(|harness| harness.shared.vms.borrow().is_empty())
            .await;
        assert!(start.elapsed() < Duration::from_millis(300));
    });
}

fn listed(vm: &Vm, revision: u64) -> Change {
    Change::Listed {
        vm: vm.clone(),
        revision,
    }
}

fn removed(id: &str, revision: u64) -> Change {
    Change::Removed {
        id: id.to_owned(),
        revision,
    }
}

#[test]
fn changes_are_ordered_by_store_revision() {
    run(async {
        let vm = start("vm-1").await.vm;
        let mut revisions = Revisions::default();
        revisions.record_watched(10);
        // the local watch has already shown this revision
        assert!(!revisions.accepts(&listed(&vm, 10)));
        assert!(revisions.accepts(&listed(&vm, 12)));
        // an older report arrives after a newer one
        assert!(revisions.accepts(&removed("vm-1", 15)));
        assert!(!revisions.accepts(&listed(&vm, 13)));
        // the local watch is behind the reports until it reaches their revision
        assert!(revisions.supersedes("vm-1", 12));
        revisions.record_watched(14);
        assert!(revisions.supersedes("vm-1", 14));
        revisions.record_watched(15);
        assert!(!revisions.supersedes("vm-1", 16));
        assert!(revisions.accepts(&listed(&vm, 16)));
    });
}

#[test]
fn reports_of_peers_apply_before_the_local_watch_shows_the_change() {
    run(async {
        let harness = Harness::start().await;
        harness.shared.sends_vm_changes.set(false);
        let (first, second) = (start("vm-1").await, start("vm-2").await);
        harness.register(&[&first]).await;
        harness.store.set_watches_silent(true);
        sleep(Duration::from_millis(1000)).await;
        let revision = harness.store.revision();
        follow::apply_changes(&harness.shared, vec![listed(&second.vm, revision + 1)]);
        follow::apply_changes(&harness.shared, vec![removed("vm-1", revision + 2)]);
        for number in 0..5 {
            let response = harness
                .call("POST", "/once/", &format!("id-{number}"))
                .await;
            assert_eq!(response.body, "vm-2");
        }
        let mut draining = second.vm.clone();
        draining.health = Health::Draining;
        follow::apply_changes(&harness.shared, vec![listed(&draining, revision + 3)]);
        assert_eq!(harness.call("POST", "/once/", "id-6").await.status, 503);
    });
}

#[test]
fn changes_seen_by_the_local_watch_are_queued_for_peers() {
    run(async {
        let harness = Harness::start().await;
        let vm = start("vm-1").await;
        harness.register(&[&vm]).await;
        harness.store.delete("vms", "vm-1");
        harness
            .wait_until(|harness| harness.shared.vms.borrow().is_empty())
            .await;
        let changes = harness.shared.vm_changes.take();
        let [Change::Listed { vm: first, .. }, Change::Removed { id, .. }] = &changes[..] else {
            panic!("{changes:?}");
        };
        assert_eq!((&first.id, id), (&vm.vm.id, &vm.vm.id));
    });
}
