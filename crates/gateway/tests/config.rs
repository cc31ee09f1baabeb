//! Which configuration applies to a request, and how its age limits its use.

mod support;

use std::time::Duration;

use gateway::Confirmation;
use route::trust::{Role, Trust};
use support::{FakeVm, Harness, Script, config, config_with, request, run};
use tokio::time::sleep;

async fn start_vm(harness: &Harness) -> FakeVm {
    let vm = FakeVm::start("vm-1", "desk", Script::response(200, "served")).await;
    harness.register(&[&vm]).await;
    vm
}

#[test]
fn requests_before_the_first_configuration_get_retry_after() {
    run(async {
        let harness = Harness::empty().await;
        let response = harness.call("POST", "/once/", "id-1").await;
        assert_eq!(response.status, 503);
        assert!(response.header("retry-after").is_some());
        assert!(!harness.shared.is_ready());
    });
}

#[test]
fn unknown_routes_and_keys_are_refused() {
    run(async {
        let harness = Harness::start().await;
        let vm = start_vm(&harness).await;
        assert_eq!(harness.call("POST", "/other/", "id-1").await.status, 404);
        for key in ["x-key: key-2\r\n", ""] {
            let text = request("POST", "/once/", &format!("x-id: id-2\r\n{key}"), "");
            assert_eq!(harness.connect().await.call(&text).await.status, 401);
        }
        assert!(vm.requests().is_empty());
    });
}

#[test]
fn configuration_with_a_lower_version_is_ignored() {
    run(async {
        let harness = Harness::start().await;
        start_vm(&harness).await;
        harness
            .store
            .configure(|| config_with(7, &["key-1", "key-7"]));
        harness
            .wait_until(|harness| {
                harness
                    .shared
                    .config()
                    .is_some_and(|config| config.version == 7)
            })
            .await;
        harness.store.configure(|| config_with(5, &["key-5"]));
        sleep(Duration::from_millis(200)).await;
        assert_eq!(
            harness.shared.config().map(|config| config.version),
            Some(7)
        );
        assert_eq!(harness.call("POST", "/once/", "id-1").await.status, 200);
    });
}

#[test]
fn removed_key_is_rejected() {
    run(async {
        let harness = Harness::start().await;
        start_vm(&harness).await;
        assert_eq!(harness.call("POST", "/once/", "id-1").await.status, 200);
        harness.store.configure(|| config_with(2, &["key-2"]));
        harness
            .wait_until(|harness| {
                harness
                    .shared
                    .config()
                    .is_some_and(|config| config.version == 2)
            })
            .await;
        assert_eq!(harness.call("POST", "/once/", "id-2").await.status, 401);
    });
}

#[test]
fn keys_are_not_trusted_during_a_long_store_outage() {
    run(async {
        let harness = Harness::start().await;
        let vm = start_vm(&harness).await;
        harness.store.set_unavailable(true);
        sleep(Duration::from_millis(1000)).await;
        assert_eq!(
            harness.call("POST", "/once/", "id-1").await.status,
            200,
            "a short outage"
        );
        // keys are trusted for 3 s, less a margin for the time until a request reaches its VM
        sleep(Duration::from_millis(1800)).await;
        let received = vm.requests().len();
        assert_eq!(harness.call("POST", "/once/", "id-2").await.status, 503);
        assert_eq!(vm.requests().len(), received);
        assert!(!harness.shared.is_ready());
        harness.store.set_unavailable(false);
        harness
            .wait_until(|harness| harness.shared.is_ready())
            .await;
        assert_eq!(harness.call("POST", "/once/", "id-3").await.status, 200);
    });
}

#[test]
fn unknown_route_can_be_retried_while_the_configuration_is_old() {
    run(async {
        let harness = Harness::start().await;
        start_vm(&harness).await;
        harness.store.set_unavailable(true);
        sleep(Duration::from_millis(2300)).await;
        assert_eq!(harness.call("POST", "/other/", "id-1").await.status, 503);
    });
}

#[test]
fn changes_missed_by_a_watch_are_found_after_the_history_expired() {
    run(async {
        let harness = Harness::start().await;
        let vm = start_vm(&harness).await;
        harness.store.set_watches_silent(true);
        sleep(Duration::from_millis(100)).await;
        harness.store.configure(|| config(9));
        let replacement = FakeVm::start("vm-2", "desk", Script::response(200, "new")).await;
        harness.store.register(&replacement.vm);
        harness.store.delete("vms", &vm.vm.id);
        sleep(Duration::from_millis(500)).await;
        harness.store.set_watches_silent(false);
        harness.store.drop_history();
        harness.store.set_unavailable(true);
        sleep(Duration::from_millis(100)).await;
        harness.store.set_unavailable(false);
        harness
            .wait_until(|harness| {
                harness
                    .shared
                    .config()
                    .is_some_and(|config| config.version == 9)
            })
            .await;
        harness
            .wait_until(|harness| !harness.shared.vms.borrow().contains_key("vm-1"))
            .await;
        assert_eq!(harness.call("POST", "/once/", "id-1").await.body, "new");
    });
}

#[test]
fn invalid_configuration_does_not_replace_the_current_one() {
    run(async {
        let harness = Harness::start().await;
        start_vm(&harness).await;
        harness.store.put(
            "config",
            "main",
            serde_json::json!({ "index": "no number" }),
        );
        sleep(Duration::from_millis(200)).await;
        assert_eq!(harness.call("POST", "/once/", "id-1").await.status, 200);
    });
}

/// starts a gateway in the role of a follower, which the exchange with peers would assign
async fn follower() -> Harness {
    let harness = Harness::empty().await;
    harness.shared.role.set(Role::Follower);
    harness.store.configure(|| config(1));
    harness
        .wait_until(|harness| harness.shared.is_ready())
        .await;
    harness
}

#[test]
fn follower_with_confirmations_of_peers_trusts_keys_with_few_store_calls() {
    run(async {
        let harness = follower().await;
        start_vm(&harness).await;
        sleep(Duration::from_millis(300)).await;
        let calls = harness.store.calls();
        for _ in 0..25 {
            let requested_at = harness.shared.clock.now();
            let confirmation = Confirmation {
                version: 1,
                age_ms: 1000,
            };
            harness
                .shared
                .apply_confirmation(&confirmation, requested_at);
            sleep(Duration::from_millis(200)).await;
            assert_eq!(harness.shared.trust(), Trust::Current);
        }
        // the watch of VMs ends every 3 s
        let made = harness.store.calls() - calls;
        assert!(made <= 3, "{made} calls in 5 s");
    });
}

#[test]
fn follower_without_confirmations_polls_the_store() {
    run(async {
        let harness = follower().await;
        let vm = start_vm(&harness).await;
        for number in 0..8 {
            sleep(Duration::from_millis(700)).await;
            assert_ne!(harness.shared.trust(), Trust::Stale, "check {number}");
        }
        let id = "id-1";
        assert_eq!(harness.call("POST", "/once/", id).await.status, 200);
        assert_eq!(vm.requests().len(), 1);
    });
}

#[test]
fn newer_configuration_of_a_peer_reveals_a_stalled_watch() {
    run(async {
        let harness = follower().await;
        start_vm(&harness).await;
        harness.store.set_watches_silent(true);
        sleep(Duration::from_millis(100)).await;
        harness.store.configure(|| config_with(2, &["key-2"]));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(
            harness.shared.config().map(|config| config.version),
            Some(1)
        );
        let confirmation = Confirmation {
            version: 2,
            age_ms: 0,
        };
        harness
            .shared
            .apply_confirmation(&confirmation, harness.shared.clock.now());
        let is_applied = |harness: &Harness| {
            let config = harness.shared.config();
            config.is_some_and(|config| config.version == 2)
        };
        harness.wait_until(is_applied).await;
        assert_eq!(harness.call("POST", "/once/", "id-1").await.status, 401);
    });
}

#[test]
fn confirmation_of_another_version_does_not_reset_the_age() {
    run(async {
        let harness = follower().await;
        start_vm(&harness).await;
        harness.store.set_unavailable(true);
        for version in [0, 2] {
            let requested_at = harness.shared.clock.now();
            harness
                .shared
                .apply_confirmation(&Confirmation { version, age_ms: 0 }, requested_at);
        }
        sleep(Duration::from_millis(2800)).await;
        assert_eq!(harness.shared.trust(), Trust::Stale);
        let confirmation = Confirmation {
            version: 1,
            age_ms: 2700,
        };
        harness
            .shared
            .apply_confirmation(&confirmation, harness.shared.clock.now());
        assert_eq!(
            harness.shared.trust(),
            Trust::Stale,
            "the confirmation is too old"
        );
    });
}

#[test]
fn request_waits_for_the_first_configuration() {
    run(async {
        let harness = Harness::empty().await;
        let vm = FakeVm::start("vm-1", "desk", Script::response(200, "served")).await;
        harness.store.register(&vm.vm);
        let store_later = async {
            sleep(Duration::from_millis(200)).await;
            harness.store.configure(|| config(1));
        };
        let (response, ()) = tokio::join!(harness.call("POST", "/once/", "id-1"), store_later);
        assert_eq!((response.status, response.body.as_str()), (200, "served"));
    });
}

/// after a loss of all daemons no peer has any state
#[test]
fn restarted_daemon_with_peers_reads_the_store_at_once() {
    run(async {
        let mut settings = support::settings();
        settings.is_alone = false;
        settings.is_first_start = false;
        let store = support::FakeStore::new();
        store.configure(|| config(1));
        let harness = Harness::with(settings, store);
        let start = std::time::Instant::now();
        harness
            .wait_until(|harness| harness.shared.is_ready())
            .await;
        assert!(start.elapsed() < Duration::from_millis(300));
    });
}

#[test]
fn follower_that_becomes_a_watcher_polls_at_once() {
    run(async {
        let harness = follower().await;
        start_vm(&harness).await;
        sleep(Duration::from_millis(300)).await;
        let calls = harness.store.calls();
        harness.shared.role.set(Role::Watcher);
        sleep(Duration::from_millis(2500)).await;
        let made = harness.store.calls() - calls;
        assert!(made >= 3, "{made} calls");
        assert_eq!(harness.shared.trust(), Trust::Current);
    });
}
