//! Which configuration decides on a request, and what its age allows.

mod support;

use std::time::Duration;

use gateway::Confirmation;
use route::trust::{Role, Trust};
use support::{Script, Upstream, World, config, config_with, request, run};
use tokio::time::sleep;

async fn served(world: &World) -> Upstream {
    let vm = Upstream::start("vm-1", "desk", Script::answer(200, "served")).await;
    world.register(&[&vm]).await;
    vm
}

#[test]
fn before_any_configuration_requests_are_told_to_come_back() {
    run(async {
        let world = World::empty().await;
        let answer = world.call("POST", "/once/", "id-1").await;
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some());
        assert!(!world.shared.is_ready());
    });
}

#[test]
fn unknown_routes_and_keys_are_refused() {
    run(async {
        let world = World::start().await;
        let vm = served(&world).await;
        assert_eq!(world.call("POST", "/other/", "id-1").await.status, 404);
        for key in ["x-key: key-2\r\n", ""] {
            let text = request("POST", "/once/", &format!("x-id: id-2\r\n{key}"), "");
            assert_eq!(world.connect().await.call(&text).await.status, 401);
        }
        assert!(vm.seen().is_empty());
    });
}

#[test]
fn the_longest_prefix_decides_and_a_lower_version_changes_nothing() {
    run(async {
        let world = World::start().await;
        served(&world).await;
        world
            .store
            .configure(|| config_with(7, &["key-1", "key-7"]));
        world
            .until(|world| {
                world
                    .shared
                    .config()
                    .is_some_and(|config| config.version == 7)
            })
            .await;
        world.store.configure(|| config_with(5, &["key-5"]));
        sleep(Duration::from_millis(200)).await;
        assert_eq!(world.shared.config().map(|config| config.version), Some(7));
        assert_eq!(world.call("POST", "/once/", "id-1").await.status, 200);
    });
}

#[test]
fn a_key_that_was_taken_away_stops_working() {
    run(async {
        let world = World::start().await;
        served(&world).await;
        assert_eq!(world.call("POST", "/once/", "id-1").await.status, 200);
        world.store.configure(|| config_with(2, &["key-2"]));
        world
            .until(|world| {
                world
                    .shared
                    .config()
                    .is_some_and(|config| config.version == 2)
            })
            .await;
        assert_eq!(world.call("POST", "/once/", "id-2").await.status, 401);
    });
}

#[test]
fn keys_are_not_trusted_while_the_store_is_out_for_long() {
    run(async {
        let world = World::start().await;
        let vm = served(&world).await;
        world.store.set_out(true);
        sleep(Duration::from_millis(1000)).await;
        assert_eq!(
            world.call("POST", "/once/", "id-1").await.status,
            200,
            "a short outage"
        );
        // the bound on keys is 3 s; a part of it is left for the way to the VM
        sleep(Duration::from_millis(1800)).await;
        let seen = vm.seen().len();
        assert_eq!(world.call("POST", "/once/", "id-2").await.status, 503);
        assert_eq!(vm.seen().len(), seen);
        assert!(!world.shared.is_ready());
        world.store.set_out(false);
        world.until(|world| world.shared.is_ready()).await;
        assert_eq!(world.call("POST", "/once/", "id-3").await.status, 200);
    });
}

#[test]
fn what_is_unknown_to_an_old_configuration_is_not_refused_for_good() {
    run(async {
        let world = World::start().await;
        served(&world).await;
        world.store.set_out(true);
        sleep(Duration::from_millis(2300)).await;
        assert_eq!(world.call("POST", "/other/", "id-1").await.status, 503);
    });
}

#[test]
fn changes_that_a_watch_did_not_show_are_found_after_the_history_is_gone() {
    run(async {
        let world = World::start().await;
        let vm = served(&world).await;
        world.store.set_mute(true);
        sleep(Duration::from_millis(100)).await;
        world.store.configure(|| config(9));
        let gone = Upstream::start("vm-2", "desk", Script::answer(200, "new")).await;
        world.store.register(&gone.vm);
        world.store.delete("vms", &vm.vm.id);
        sleep(Duration::from_millis(500)).await;
        world.store.set_mute(false);
        world.store.forget();
        world.store.set_out(true);
        sleep(Duration::from_millis(100)).await;
        world.store.set_out(false);
        world
            .until(|world| {
                world
                    .shared
                    .config()
                    .is_some_and(|config| config.version == 9)
            })
            .await;
        world
            .until(|world| !world.shared.vms.borrow().contains_key("vm-1"))
            .await;
        assert_eq!(world.call("POST", "/once/", "id-1").await.body, "new");
    });
}

#[test]
fn a_configuration_that_can_not_be_read_leaves_the_one_in_force() {
    run(async {
        let world = World::start().await;
        served(&world).await;
        world.store.put(
            "config",
            "main",
            serde_json::json!({ "index": "no number" }),
        );
        sleep(Duration::from_millis(200)).await;
        assert_eq!(world.call("POST", "/once/", "id-1").await.status, 200);
    });
}

/// a daemon that relies on others, as the exchange with them makes it
async fn follower() -> World {
    let world = World::empty().await;
    world.shared.role.set(Role::Follower);
    world.store.configure(|| config(1));
    world.until(|world| world.shared.is_ready()).await;
    world
}

#[test]
fn a_follower_asks_seldom_and_trusts_keys_by_the_word_of_others() {
    run(async {
        let world = follower().await;
        served(&world).await;
        sleep(Duration::from_millis(300)).await;
        let calls = world.store.calls();
        for _ in 0..25 {
            let asked = world.shared.clock.now();
            let word = Confirmation {
                version: 1,
                age_ms: 1000,
            };
            world.shared.apply_confirmation(&word, asked);
            sleep(Duration::from_millis(200)).await;
            assert_eq!(world.shared.trust(), Trust::Current);
        }
        // the VMs' watch ends every three seconds
        let made = world.store.calls() - calls;
        assert!(made <= 3, "{made} calls in five seconds");
    });
}

#[test]
fn a_follower_that_nobody_vouches_for_asks_for_itself() {
    run(async {
        let world = follower().await;
        let vm = served(&world).await;
        for number in 0..8 {
            sleep(Duration::from_millis(700)).await;
            assert_ne!(world.shared.trust(), Trust::Stale, "look {number}");
        }
        let id = "id-1";
        assert_eq!(world.call("POST", "/once/", id).await.status, 200);
        assert_eq!(vm.seen().len(), 1);
    });
}

#[test]
fn a_silent_watch_is_found_by_another_daemon_s_newer_configuration() {
    run(async {
        let world = follower().await;
        served(&world).await;
        world.store.set_mute(true);
        sleep(Duration::from_millis(100)).await;
        world.store.configure(|| config_with(2, &["key-2"]));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(world.shared.config().map(|config| config.version), Some(1));
        let word = Confirmation {
            version: 2,
            age_ms: 0,
        };
        world
            .shared
            .apply_confirmation(&word, world.shared.clock.now());
        let taken = |world: &World| {
            let config = world.shared.config();
            config.is_some_and(|config| config.version == 2)
        };
        world.until(taken).await;
        assert_eq!(world.call("POST", "/once/", "id-1").await.status, 401);
    });
}

#[test]
fn a_word_on_another_version_makes_nothing_younger() {
    run(async {
        let world = follower().await;
        served(&world).await;
        world.store.set_out(true);
        for version in [0, 2] {
            let asked = world.shared.clock.now();
            world
                .shared
                .apply_confirmation(&Confirmation { version, age_ms: 0 }, asked);
        }
        sleep(Duration::from_millis(2800)).await;
        assert_eq!(world.shared.trust(), Trust::Stale);
        let word = Confirmation {
            version: 1,
            age_ms: 2700,
        };
        world
            .shared
            .apply_confirmation(&word, world.shared.clock.now());
        assert_eq!(world.shared.trust(), Trust::Stale, "the word is too old");
    });
}

#[test]
fn a_request_that_comes_while_the_first_configuration_is_read_is_served() {
    run(async {
        let world = World::empty().await;
        let vm = Upstream::start("vm-1", "desk", Script::answer(200, "served")).await;
        world.store.register(&vm.vm);
        let soon = async {
            sleep(Duration::from_millis(200)).await;
            world.store.configure(|| config(1));
        };
        let (answer, ()) = tokio::join!(world.call("POST", "/once/", "id-1"), soon);
        assert_eq!((answer.status, answer.body.as_str()), (200, "served"));
    });
}

#[test]
fn a_follower_that_becomes_a_watcher_asks_often_at_once() {
    run(async {
        let world = follower().await;
        served(&world).await;
        sleep(Duration::from_millis(300)).await;
        let calls = world.store.calls();
        world.shared.role.set(Role::Watcher);
        sleep(Duration::from_millis(2500)).await;
        let made = world.store.calls() - calls;
        assert!(made >= 3, "{made} calls");
        assert_eq!(world.shared.trust(), Trust::Current);
    });
}
