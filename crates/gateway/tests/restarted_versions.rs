//! VMs that start again under their ids with another version while a daemon has an old list of VMs: no
//! stream goes on at another version than the one that began it.

mod support;

use std::rc::Rc;
use std::time::Duration;

use gateway::model::Config;
use support::{FakeStore, FakeVm, Harness, Response, Script, Step, config, request, run, settings};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// pause between two events
const GAP: Duration = Duration::from_millis(20);

/// time after which a list of VMs has been confirmed since a connection was opened
const CONFIRMED: Duration = Duration::from_millis(2500);

/// moments of a VM's restart, before and after the store is lost
const MOMENTS_MS: [i64; 8] = [-1500, -600, -100, 0, 100, 600, 1500, 2500];

fn headers(id: &str) -> String {
    format!("x-id: {id}\r\nx-key: key-1\r\nx-time-limit-ms: 12000\r\n")
}

/// events of a version, labelled with it
fn events(version: &str, first: u32, last: u32) -> Script {
    let Script(steps) = Script::events(first, last, GAP);
    let label = |step| match step {
        Step::Write(text) if text.contains("piece") => {
            let event = text.split_once("\r\n").expect("a chunk").1;
            let event = event.trim_end_matches("\r\n").replace("piece", version);
            let event = event.trim_end().to_owned() + "\n\n";
            Step::Write(format!("{:x}\r\n{event}\r\n", event.len()))
        }
        step => step,
    };
    Script(steps.into_iter().map(label).collect())
}

/// three events, after which the stream does not go on for a long time
fn begun(version: &str) -> Script {
    events(version, 1, 3).then(Step::Wait(Duration::from_secs(20)))
}

/// routes with a time-out beyond the tests
fn long_config() -> Config {
    let mut config = config(1);
    for route in config.routes.values_mut().flatten() {
        let mut long = route.as_ref().clone();
        long.timeout = Duration::from_secs(12);
        *route = Rc::new(long);
    }
    config
}

/// a gateway that trusts keys for as long as the store is out
async fn start_gateway() -> Harness {
    let mut settings = settings();
    settings.policy.max_key_age = None;
    let harness = Harness::with(settings, FakeStore::new());
    harness.store.configure(long_config);
    harness
        .wait_until(|harness| harness.shared.is_ready())
        .await;
    harness
}

/// a gateway with two VMs of version `v1`
async fn start() -> (Harness, FakeVm, FakeVm) {
    let harness = start_gateway().await;
    let first = FakeVm::start("vm-1", "desk", begun("v1")).await;
    let first = first.with_version("v1");
    let second = FakeVm::start("vm-2", "desk", begun("v1")).await;
    let second = second.with_version("v1");
    harness.register(&[&first]).await;
    (harness, first, second)
}

/// begins a stream whose response is read until it ends
async fn begin(harness: &Harness, id: &str) -> support::Caller {
    let mut caller = harness.connect().await;
    caller
        .send(&request("POST", "/stream/", &headers(id), "body"))
        .await;
    caller.read_until("3\n\n").await;
    caller
}

/// resumes a stream after its third event
async fn resume(harness: &Harness, id: &str, first_attempt: &str) -> Response {
    let more = format!("last-event-id: 3\r\nx-first-attempt: {first_attempt}\r\n");
    let text = request("POST", "/stream/", &(headers(id) + &more), "body");
    harness.connect().await.call(&text).await
}

/// review/1: the store was out while two VMs were upgraded one after the other under their ids; the
/// second one's streams went on at the first one's new version
#[test]
fn broken_stream_does_not_go_on_at_a_vm_that_restarted_while_the_store_was_out() {
    run(async {
        let (harness, first, mut second) = start().await;
        first.set_script(events("v1", 1, 1000));
        let caller = begin(&harness, "id-1").await;
        harness.register(&[&second]).await;
        sleep(CONFIRMED).await;
        harness.store.set_unavailable(true);
        sleep(Duration::from_millis(200)).await;
        second.restart("v2", harness.shared.wall_clock.now_ms());
        second.set_script(events("v2", 998, 1000).end());
        sleep(Duration::from_millis(500)).await;
        first.crash();
        let mut caller = caller;
        let (text, _) = caller.read_to_end().await;
        assert_eq!(second.requests().len(), 1, "the stream has been sent on");
        assert!(!text.contains("v2"), "{text}");
    });
}

/// a machine that was out of step for some seconds took up streams of another version at a VM that had
/// joined meanwhile, as its list was old
#[test]
fn resumed_stream_does_not_go_on_at_another_version_at_a_daemon_with_an_old_list() {
    run(async {
        let mut tasks = Vec::new();
        for moment_ms in MOMENTS_MS {
            tasks.push(spawn_local(async move {
                let (harness, first, mut second) = start().await;
                drop(begin(&harness, "id-1").await);
                harness.register(&[&second]).await;
                sleep(CONFIRMED).await;
                let mut restart = async |harness: &Harness| {
                    let now_ms = harness.shared.wall_clock.now_ms();
                    second.restart("v2", now_ms);
                    second.set_script(events("v2", 4, 6).end());
                    harness.store.register(&second.vm);
                };
                let before = Duration::from_millis(moment_ms.min(0).unsigned_abs());
                let after = Duration::from_millis(moment_ms.max(0).unsigned_abs());
                if !before.is_zero() {
                    restart(&harness).await;
                    sleep(before).await;
                }
                harness.store.set_cut(true);
                if before.is_zero() {
                    sleep(after).await;
                    restart(&harness).await;
                }
                first.crash();
                for number in 0..3 {
                    let response = resume(&harness, &format!("again-{number}"), "id-1").await;
                    assert!(
                        !response.body.contains("v2"),
                        "restart {moment_ms} ms after the cut: {response:?}"
                    );
                    sleep(Duration::from_millis(300)).await;
                }
            }));
        }
        for task in tasks {
            task.await.expect("no failure");
        }
    });
}

/// a stream that begins while the list is old is not recorded at the version of an old entry
#[test]
fn stream_that_begins_at_a_restarted_vm_does_not_go_on_at_its_former_version() {
    run(async {
        let (harness, mut first, second) = start().await;
        harness.store.set_unavailable(true);
        sleep(CONFIRMED).await;
        first.restart("v2", harness.shared.wall_clock.now_ms());
        first.set_script(begun("v2"));
        drop(begin(&harness, "id-1").await);
        harness.store.set_unavailable(false);
        harness.register(&[&second]).await;
        second.set_script(events("v1", 4, 6).end());
        let response = resume(&harness, "again", "id-1").await;
        assert_eq!(response.status, 503, "{response:?}");
    });
}

/// review/2: the store came back from a copy with the entry from before a VM's restart, which replaced
/// the newer one
#[test]
fn restored_store_does_not_bring_back_the_version_from_before_a_restart() {
    run(async {
        let (harness, first, mut second) = start().await;
        drop(begin(&harness, "id-1").await);
        harness.register(&[&second]).await;
        let copy = harness.store.copy();
        second.restart("v2", harness.shared.wall_clock.now_ms());
        second.set_script(events("v2", 4, 6).end());
        harness.store.register(&second.vm);
        let is_upgraded = |harness: &Harness| harness.shared.vms.borrow()["vm-2"].version == "v2";
        harness.wait_until(is_upgraded).await;
        harness.store.restore(&copy);
        first.crash();
        for number in 0..10 {
            assert!(is_upgraded(&harness), "the older entry is back");
            let response = resume(&harness, &format!("again-{number}"), "id-1").await;
            assert!(!response.body.contains("v2"), "{response:?}");
            sleep(Duration::from_millis(100)).await;
        }
    });
}

/// streams go on while the store is out, as VMs state when they started
#[test]
fn streams_go_on_while_the_store_is_out_if_their_vms_have_not_restarted() {
    run(async {
        let (harness, first, second) = start().await;
        harness.store.set_unavailable(true);
        sleep(CONFIRMED).await;
        drop(begin(&harness, "id-1").await);
        sleep(Duration::from_millis(600)).await;
        assert!(first.conditions() > 0);
        first.set_script(events("v1", 4, 6).end());
        let response = resume(&harness, "again", "id-1").await;
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.is_complete && response.body.contains("v1 6"));
        assert!(second.requests().is_empty());
    });
}

/// VMs are not asked in calm while streams begin on connections that are kept
#[test]
fn vms_are_not_asked_about_connections_from_before_the_list() {
    run(async {
        let harness = start_gateway().await;
        let vm = FakeVm::start("vm-1", "desk", events("v1", 1, 3).end()).await;
        harness.register(&[&vm]).await;
        harness.call("POST", "/stream/", "id-0").await;
        sleep(CONFIRMED).await;
        let asked = vm.conditions();
        for number in 1..20 {
            let response = harness
                .call("POST", "/stream/", &format!("id-{number}"))
                .await;
            assert_eq!(response.status, 200, "{response:?}");
        }
        assert_eq!(vm.conditions(), asked);
        assert!(asked <= 1, "{asked}");
    });
}
