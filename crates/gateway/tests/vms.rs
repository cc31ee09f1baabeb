//! VMs that come, leave and are gone.

mod support;

use std::time::Duration;

use gateway::follow::{self, Change, Revisions};
use gateway::model::{Health, Vm};
use support::{Script, Upstream, World, run};
use tokio::time::sleep;

async fn start(id: &str) -> Upstream {
    Upstream::start(id, "desk", Script::answer(200, id)).await
}

#[test]
fn a_draining_vm_gets_nothing_new() {
    run(async {
        let world = World::start().await;
        let (one, other) = (start("vm-1").await, start("vm-2").await);
        world.register(&[&one, &other]).await;
        let mut leaving = one.vm.clone();
        leaving.health = Health::Draining;
        world.store.register(&leaving);
        world
            .until(|world| world.shared.placement.borrow().count("desk") == 1)
            .await;
        for turn in 0..20 {
            assert_eq!(
                world
                    .call("POST", "/once/", &format!("id-{turn}"))
                    .await
                    .body,
                "vm-2"
            );
        }
    });
}

#[test]
fn a_vm_at_another_ones_address_is_taken_out() {
    run(async {
        let world = World::start().await;
        let other = Upstream::start("vm-1", "desk", Script::answer(421, "")).await;
        world.register(&[&other]).await;
        assert_eq!(world.call("POST", "/once/", "id-1").await.status, 503);
        assert_eq!(world.call("POST", "/once/", "id-2").await.status, 503);
        assert_eq!(other.seen().len(), 1);
    });
}

#[test]
fn an_entry_that_can_not_be_read_names_no_vm_and_hides_no_other() {
    run(async {
        let world = World::start().await;
        let vm = start("vm-1").await;
        world
            .store
            .put("vms", "vm-0", serde_json::json!([1, "two", null]));
        world.register(&[&vm]).await;
        world
            .store
            .put("vms", "vm-2", serde_json::json!({ "service": 5 }));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(world.shared.vms.borrow().len(), 1);
        assert_eq!(world.call("POST", "/once/", "id-1").await.status, 200);
        world
            .store
            .put("vms", "vm-1", serde_json::json!({ "service": "desk" }));
        world
            .until(|world| world.shared.vms.borrow().is_empty())
            .await;
    });
}

#[test]
fn vms_that_lapsed_in_an_outage_are_waited_for_and_then_taken_to_be_gone() {
    run(async {
        let world = World::start().await;
        let (stays, goes) = (start("vm-1").await, start("vm-2").await);
        world.register(&[&stays, &goes]).await;
        world.store.set_out(true);
        world.store.delete("vms", "vm-1");
        world.store.delete("vms", "vm-2");
        world.store.forget();
        sleep(Duration::from_millis(3000)).await;
        world.store.set_out(false);
        sleep(Duration::from_millis(1200)).await;
        // the gateway lists at latest 0.8 s after the return and waits for 2 s
        assert_eq!(world.shared.vms.borrow().len(), 2, "both are waited for");
        world.store.register(&stays.vm);
        world
            .until(|world| world.shared.vms.borrow().contains_key("vm-1"))
            .await;
        world
            .until(|world| !world.shared.vms.borrow().contains_key("vm-2"))
            .await;
        assert_eq!(world.call("POST", "/once/", "id-1").await.body, "vm-1");
    });
}

#[test]
fn without_an_outage_a_removed_vm_is_gone_at_once() {
    run(async {
        let world = World::start().await;
        let vm = start("vm-1").await;
        world.register(&[&vm]).await;
        world.store.delete("vms", "vm-1");
        let start = std::time::Instant::now();
        world
            .until(|world| world.shared.vms.borrow().is_empty())
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

fn gone(id: &str, revision: u64) -> Change {
    Change::Removed {
        id: id.to_owned(),
        revision,
    }
}

#[test]
fn changes_count_by_the_store_s_revision_whichever_way_they_come() {
    run(async {
        let vm = start("vm-1").await.vm;
        let mut told = Revisions::default();
        told.record_watched(10);
        // what the own watch has shown is no news
        assert!(!told.accepts(&listed(&vm, 10)));
        assert!(told.accepts(&listed(&vm, 12)));
        // messages overtake each other
        assert!(told.accepts(&gone("vm-1", 15)));
        assert!(!told.accepts(&listed(&vm, 13)));
        // the own watch lags behind what was told, and then has it
        assert!(told.supersedes("vm-1", 12));
        told.record_watched(14);
        assert!(told.supersedes("vm-1", 14));
        told.record_watched(15);
        assert!(!told.supersedes("vm-1", 16));
        assert!(told.accepts(&listed(&vm, 16)));
    });
}

#[test]
fn what_another_daemon_tells_of_vms_counts_before_the_own_watch_shows_it() {
    run(async {
        let world = World::start().await;
        world.shared.sends_vm_changes.set(false);
        let (one, other) = (start("vm-1").await, start("vm-2").await);
        world.register(&[&one]).await;
        world.store.set_mute(true);
        sleep(Duration::from_millis(1000)).await;
        let revision = world.store.revision();
        follow::apply_changes(&world.shared, vec![listed(&other.vm, revision + 1)]);
        follow::apply_changes(&world.shared, vec![gone("vm-1", revision + 2)]);
        for turn in 0..5 {
            let answer = world.call("POST", "/once/", &format!("id-{turn}")).await;
            assert_eq!(answer.body, "vm-2");
        }
        let mut leaving = other.vm.clone();
        leaving.health = Health::Draining;
        follow::apply_changes(&world.shared, vec![listed(&leaving, revision + 3)]);
        assert_eq!(world.call("POST", "/once/", "id-6").await.status, 503);
    });
}

#[test]
fn a_daemon_that_sees_changes_first_has_others_told() {
    run(async {
        let world = World::start().await;
        let vm = start("vm-1").await;
        world.register(&[&vm]).await;
        world.store.delete("vms", "vm-1");
        world
            .until(|world| world.shared.vms.borrow().is_empty())
            .await;
        let news = world.shared.vm_changes.take();
        let [Change::Listed { vm: first, .. }, Change::Removed { id, .. }] = &news[..] else {
            panic!("{news:?}");
        };
        assert_eq!((&first.id, id), (&vm.vm.id, &vm.vm.id));
    });
}
