//! Event streams while VMs of two software versions serve: none goes on at another version than the
//! one that sent its first event.

mod support;

use std::time::Duration;

use route::origin::{Batch, Group, Ids, Origin, stream_id};
use serde_json::json;
use support::{
    FakeStore, FakeVm, Harness, Response, Script, Step, config, request, restart_daemon, run,
    start_daemon, wait_until_ready,
};
use tokio::time::sleep;

/// pause between two events
const GAP: Duration = Duration::from_millis(20);

/// time after which the records of streams are in the store
const RECORD_TIME: Duration = Duration::from_millis(1200);

/// streams that callers resume after a kill of all daemons
const STREAMS: usize = 12;

/// part of the error between the times of day of a VM and a daemon
const CLOCK_ERROR: Duration = Duration::from_millis(50);

/// a daemon that reaches no peer refuses what it does not know within this time
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// events 1 to 3, after which the stream does not go on for a long time
fn begun() -> Script {
    Script::events(1, 3, GAP).then(Step::Wait(Duration::from_secs(20)))
}

/// the rest of such a stream
fn rest() -> Script {
    Script::events(4, 6, GAP).end()
}

fn headers(id: &str) -> String {
    format!("x-id: {id}\r\nx-key: key-1\r\nx-time-limit-ms: 8000\r\n")
}

/// begins a stream and leaves after its third event
async fn begin(daemon: &Harness, id: &str) {
    let mut caller = daemon.connect().await;
    let text = request("POST", "/stream/", &headers(id), "body");
    caller.send(&text).await;
    caller.read_until("piece 3\n\n").await;
}

/// resumes a stream after its third event
async fn resume(daemon: &Harness, id: &str, first_attempt: &str) -> Response {
    let more = format!("last-event-id: 3\r\nx-first-attempt: {first_attempt}\r\n");
    let text = request("POST", "/stream/", &(headers(id) + &more), "body");
    daemon.connect().await.call(&text).await
}

/// a store with the default configuration
fn store() -> FakeStore {
    let store = FakeStore::new();
    store.configure(|| config(1));
    store
}

/// starts a VM of a version and registers it
async fn start_vm(store: &FakeStore, id: &str, version: &str, script: Script) -> FakeVm {
    let vm = FakeVm::start(id, "desk", script)
        .await
        .with_version(version);
    store.register(&vm.vm);
    vm
}

/// number of the requests that a VM got for the rest of a stream
fn resumed(vm: &FakeVm) -> usize {
    let requests = vm.requests();
    let resumed = requests
        .iter()
        .filter(|head| head.contains("last-event-id"));
    resumed.count()
}

/// whether a response is a refusal that has not run
fn is_refused(response: &Response) -> bool {
    response.status == 503
}

/// runs a stream whose VM of version `v1` breaks it off, while these VMs start; returns the response and
/// how many requests for the rest each of them got
async fn run_broken_stream(versions: &[&str]) -> (Response, Vec<usize>) {
    let harness = Harness::start().await;
    let broken = Script::events(1, 3, GAP)
        .then(Step::Wait(Duration::from_millis(300)))
        .then(Step::Reset);
    let first = start_vm(&harness.store, "vm-0", "v1", broken).await;
    harness.register(&[&first]).await;
    let mut caller = harness.connect().await;
    let text = request("POST", "/stream/", &headers("id-1"), "body");
    caller.send(&text).await;
    let mut others = Vec::new();
    for (number, version) in versions.iter().enumerate() {
        let id = format!("vm-{}", number + 1);
        others.push(start_vm(&harness.store, &id, version, rest()).await);
    }
    let last = others.last().expect("a VM");
    harness.register(&[last]).await;
    let response = caller.response().await;
    (response, others.iter().map(resumed).collect())
}

#[test]
fn broken_stream_is_not_resumed_at_another_version() {
    run(async {
        let (response, resumed) = run_broken_stream(&["v2"]).await;
        assert!(!response.is_complete, "{response:?}");
        assert_eq!(resumed, [0]);
    });
}

#[test]
fn broken_stream_is_resumed_at_its_version_beside_others() {
    run(async {
        let (response, resumed) = run_broken_stream(&["v2", "v2", "v2", "v2", "v2", "v1"]).await;
        assert!(response.is_complete, "{response:?}");
        assert_eq!(resumed, [0, 0, 0, 0, 0, 1]);
    });
}

#[test]
fn stream_of_an_unknown_version_is_refused_at_once() {
    run(async {
        let harness = Harness::start().await;
        let first = start_vm(&harness.store, "vm-1", "v1", rest()).await;
        let second = start_vm(&harness.store, "vm-2", "v2", rest()).await;
        harness.register(&[&first, &second]).await;
        let started = tokio::time::Instant::now();
        let response = resume(&harness, "id-2", "id-1").await;
        assert!(is_refused(&response), "{response:?}");
        assert!(started.elapsed() < REFUSAL_TIME);
        assert_eq!(resumed(&first) + resumed(&second), 0);
    });
}

#[test]
fn stream_of_a_version_without_vms_does_not_go_on_at_another_daemon() {
    run(async {
        let store = store();
        let daemons = [
            start_daemon(1, "here", &store),
            start_daemon(2, "here", &store),
        ];
        let first = start_vm(&store, "vm-1", "v1", begun()).await;
        wait_until_ready(&daemons, [&first]).await;
        begin(&daemons[0], "id-1").await;
        let second = start_vm(&store, "vm-2", "v2", rest()).await;
        store.delete("vms", "vm-1");
        let is_replaced = |daemon: &Harness| {
            let vms = daemon.shared.vms.borrow();
            vms.contains_key("vm-2") && !vms.contains_key("vm-1")
        };
        for daemon in &daemons {
            daemon.wait_until(is_replaced).await;
            let response = resume(daemon, "id-2", "id-1").await;
            assert!(is_refused(&response), "{response:?}");
        }
        assert_eq!(resumed(&second), 0);
    });
}

#[test]
fn streams_go_on_at_their_version_at_any_daemon() {
    run(async {
        let store = store();
        let daemons: Vec<Harness> = (0..5).map(|n| start_daemon(n, "here", &store)).collect();
        let first = start_vm(&store, "vm-1", "v1", begun()).await;
        wait_until_ready(&daemons, [&first]).await;
        sleep(RECORD_TIME).await;
        for number in 0..STREAMS {
            begin(&daemons[number % 5], &format!("id-{number}")).await;
        }
        first.set_script(rest());
        let second = start_vm(&store, "vm-2", "v2", rest()).await;
        wait_until_ready(&daemons, [&first, &second]).await;
        for number in 0..STREAMS {
            let daemon = &daemons[(number + 1) % 5];
            let response =
                resume(daemon, &format!("again-{number}"), &format!("id-{number}")).await;
            assert_eq!(response.status, 200, "{response:?}");
            assert!(response.is_complete, "{response:?}");
        }
        assert_eq!((resumed(&first), resumed(&second)), (STREAMS, 0));
    });
}

/// the VM that is asked first sends no event; the one that sends the first event decides
#[test]
fn version_is_that_of_the_first_event_and_not_of_the_first_attempt() {
    run(async {
        let harness = Harness::start().await;
        let no_event = Script(vec![Step::Wait(Duration::from_millis(300)), Step::Reset]);
        let first = start_vm(&harness.store, "vm-1", "v1", no_event).await;
        harness.register(&[&first]).await;
        let mut caller = harness.connect().await;
        let text = request("POST", "/stream/", &headers("id-1"), "body");
        caller.send(&text).await;
        harness.wait_until(|_| first.requests().len() == 1).await;
        let second = start_vm(&harness.store, "vm-2", "v2", begun()).await;
        harness.register(&[&second]).await;
        caller.read_until("piece 3\n\n").await;
        first.set_script(rest());
        second.set_script(rest());
        let response = resume(&harness, "id-2", "id-1").await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!((resumed(&first), resumed(&second)), (0, 1));
    });
}

/// all daemons are killed while VMs of two versions serve; then as many VMs of each serve again
fn resume_after_kill_of_all(daemons: usize, begin_at: &'static str) -> (usize, usize, usize) {
    let store = store();
    run({
        let store = store.clone();
        async move {
            let daemons: Vec<Harness> = (0..daemons)
                .map(|n| start_daemon(n, "here", &store))
                .collect();
            let vm = start_vm(&store, "vm-1", begin_at, begun()).await;
            wait_until_ready(&daemons, [&vm]).await;
            sleep(RECORD_TIME).await;
            for number in 0..STREAMS {
                let daemon = &daemons[number % daemons.len()];
                begin(daemon, &format!("id-{number}")).await;
            }
            sleep(RECORD_TIME).await;
            store.delete("vms", "vm-1");
        }
    });
    // the runtime of all daemons has ended with their connections
    let mut counts = (0, 0, 0);
    run(async {
        let first = start_vm(&store, "vm-2", "v1", rest()).await;
        let second = start_vm(&store, "vm-3", "v2", rest()).await;
        let daemons: Vec<Harness> = (0..daemons)
            .map(|n| restart_daemon(n, "here", &store))
            .collect();
        wait_until_ready(&daemons, [&first, &second]).await;
        for number in 0..STREAMS {
            let daemon = &daemons[(number + 1) % daemons.len()];
            let response =
                resume(daemon, &format!("again-{number}"), &format!("id-{number}")).await;
            counts.2 += usize::from(is_refused(&response));
        }
        counts.0 = resumed(&first);
        counts.1 = resumed(&second);
    });
    counts
}

#[test]
fn streams_do_not_go_on_at_another_version_after_a_kill_of_all_daemons() {
    for daemons in [1, 4] {
        for (version, other) in [("v1", "v2"), ("v2", "v1")] {
            let (first, second, refused) = resume_after_kill_of_all(daemons, version);
            let (same, joined) = if version < other {
                (first, second)
            } else {
                (second, first)
            };
            assert_eq!(joined, 0, "{version}, {daemons} daemons: joined");
            assert_eq!(same + refused, STREAMS, "{version}, {daemons} daemons");
            assert!(
                same >= STREAMS / 2,
                "{version}, {daemons} daemons: {same} go on"
            );
        }
    }
}

/// the VM begins again under its id with another version, while the daemon still has its old entry
#[test]
fn version_is_uncertain_if_the_vm_had_restarted_with_another_one() {
    run(async {
        let harness = Harness::start().await;
        let mut first = start_vm(&harness.store, "vm-1", "v1", begun()).await;
        harness.register(&[&first]).await;
        begin(&harness, "id-1").await;
        harness.store.set_watches_silent(true);
        let started_at_ms = harness.shared.wall_clock.now_ms();
        first.vm.version = "v2".to_owned();
        first.vm.started_at_ms = started_at_ms;
        harness.store.register(&first.vm);
        sleep(CLOCK_ERROR).await;
        begin(&harness, "id-2").await;
        harness.store.set_watches_silent(false);
        let second = start_vm(&harness.store, "vm-2", "v1", rest()).await;
        harness.register(&[&second]).await;
        first.set_script(rest());
        let response = resume(&harness, "again-2", "id-2").await;
        assert!(is_refused(&response), "{response:?}");
        assert_eq!(resumed(&first) + resumed(&second), 0);
    });
}

#[test]
fn record_in_the_store_is_read_if_the_daemons_that_collected_it_are_lost() {
    run(async {
        let harness = Harness::start().await;
        let first = start_vm(&harness.store, "vm-1", "v1", rest()).await;
        let second = start_vm(&harness.store, "vm-2", "v2", rest()).await;
        harness.register(&[&first, &second]).await;
        let until_s = harness.shared.wall_clock.now_ms() / 1000 + 10;
        let group = Group {
            origin: Some(Origin {
                service: "desk".to_owned(),
                version: "v2".to_owned(),
            }),
            until_s,
            ids: Ids(vec![stream_id("id-1")]),
        };
        let batch = Batch {
            groups: vec![group],
        };
        harness.store.put("streams", "all", json!(batch));
        let response = resume(&harness, "id-2", "id-1").await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!((resumed(&first), resumed(&second)), (0, 1));
        let calls = harness.store.own_calls();
        for number in 0..20 {
            let response = resume(&harness, &format!("again-{number}"), "id-3").await;
            assert!(is_refused(&response), "{response:?}");
        }
        let calls = harness.store.own_calls() - calls;
        assert!(calls < 6, "{calls} calls of the store");
    });
}

#[test]
fn version_is_uncertain_if_the_entry_of_the_vm_changes_before_its_first_event() {
    run(async {
        let harness = Harness::start().await;
        let wait = Step::Wait(Duration::from_millis(400));
        let script = Script([vec![wait], begun().0].concat());
        let mut first = start_vm(&harness.store, "vm-1", "v1", script).await;
        harness.register(&[&first]).await;
        let mut caller = harness.connect().await;
        let text = request("POST", "/stream/", &headers("id-1"), "body");
        caller.send(&text).await;
        harness.wait_until(|_| first.requests().len() == 1).await;
        first.vm.version = "v2".to_owned();
        first.vm.started_at_ms = harness.shared.wall_clock.now_ms();
        harness.store.register(&first.vm);
        caller.read_until("piece 3\n\n").await;
        first.set_script(rest());
        let second = start_vm(&harness.store, "vm-2", "v1", rest()).await;
        harness.register(&[&second]).await;
        let response = resume(&harness, "id-2", "id-1").await;
        assert!(is_refused(&response), "{response:?}");
        assert_eq!(resumed(&first) + resumed(&second), 0);
    });
}
