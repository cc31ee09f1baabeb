//! Callers who send too much, too slowly, or something else than a request.

mod support;

use std::time::Duration;

use gateway::Stage;
use support::{Script, Step, Upstream, World, request, run};
use tokio::time::sleep;

const HEADERS: &str = "x-id: id-1\r\nx-key: key-1\r\n";

async fn served() -> (World, Upstream) {
    let world = World::start().await;
    let vm = Upstream::start("vm-1", "desk", Script::answer(200, "served")).await;
    world.register(&[&vm]).await;
    (world, vm)
}

#[test]
fn bad_input_is_answered_and_never_reaches_a_vm() {
    let long = "a".repeat(1001);
    let head = "a".repeat(20_000);
    let table = [
        (
            "no id",
            request("POST", "/once/", "x-key: key-1\r\n", ""),
            400,
        ),
        (
            "a long body",
            request("POST", "/once/", HEADERS, &long),
            413,
        ),
        (
            "a long head",
            request("POST", "/once/", &format!("x-a: {head}\r\n"), ""),
            431,
        ),
        (
            "a space before a colon",
            format!("POST /once/ HTTP/1.1\r\nhost: site.example\r\nx-id : id-1\r\n{HEADERS}\r\n"),
            400,
        ),
        (
            "a length that is no number",
            format!(
                "POST /once/ HTTP/1.1\r\nhost: site.example\r\ncontent-length: 5x\r\n{HEADERS}\r\nbody."
            ),
            400,
        ),
        (
            "two lengths",
            format!(
                "POST /once/ HTTP/1.1\r\nhost: site.example\r\ncontent-length: 5\r\ncontent-length: 6\r\n{HEADERS}\r\nbody."
            ),
            400,
        ),
        ("no request", "hello\r\n\r\n".to_owned(), 400),
        (
            "no host",
            format!("POST /once/ HTTP/1.1\r\n{HEADERS}\r\n"),
            404,
        ),
    ];
    run(async {
        let (world, vm) = served().await;
        for (name, text, status) in &table {
            let answer = world.connect().await.call(text).await;
            assert_eq!(answer.status, *status, "{name}");
        }
        assert!(vm.seen().is_empty(), "{:?}", vm.seen());
        assert_eq!(world.call("POST", "/once/", "id-9").await.status, 200);
    });
}

#[test]
fn a_length_and_chunks_together_smuggle_nothing() {
    run(async {
        let (world, vm) = served().await;
        let hidden = "POST /once/hidden HTTP/1.1\r\nhost: site.example\r\nx-id: id-2\r\nx-key: key-1\r\n\r\n";
        let text = format!(
            "POST /once/ HTTP/1.1\r\nhost: site.example\r\n{HEADERS}content-length: {}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
            hidden.len() + 5
        );
        let mut caller = world.connect().await;
        caller.call(&text).await;
        sleep(Duration::from_millis(200)).await;
        // whichever way the head is read, each request at the VM is one that was read here
        for head in vm.seen() {
            assert!(!head.contains("transfer-encoding"), "{head}");
        }
        assert!(vm.seen().len() <= 2);
    });
}

#[test]
fn a_head_that_never_ends_costs_its_connection_only() {
    run(async {
        let (world, _vm) = served().await;
        let mut slow = world.connect().await;
        slow.send("POST /once/ HTTP/1.1\r\nhost:").await;
        assert!(slow.closes(Duration::from_millis(1500)).await);
        assert_eq!(world.call("POST", "/once/", "id-2").await.status, 200);
    });
}

#[test]
fn an_idle_connection_is_kept_for_its_time_and_then_closed() {
    run(async {
        let (world, _vm) = served().await;
        let mut caller = world.connect().await;
        let text = request("POST", "/once/", HEADERS, "");
        assert_eq!(caller.call(&text).await.status, 200);
        sleep(Duration::from_millis(1200)).await;
        assert_eq!(caller.call(&text).await.status, 200);
        assert!(caller.closes(Duration::from_millis(2500)).await);
    });
}

#[test]
fn a_planned_stop_finishes_what_was_read_and_closes_what_is_idle() {
    run(async {
        let world = World::start().await;
        let slow = Script(vec![Step::Wait(Duration::from_millis(500))]);
        let answer = Script::answer(200, "finished");
        let script = Script(slow.0.into_iter().chain(answer.0).collect());
        let vm = Upstream::start("vm-1", "desk", script).await;
        world.register(&[&vm]).await;
        let mut idle = world.connect().await;
        let text = request("POST", "/once/", HEADERS, "");
        assert_eq!(idle.call(&text).await.status, 200);
        let mut busy = world.connect().await;
        busy.send(&text).await;
        world.until(|_| vm.seen().len() == 2).await;
        world.shared.stage.send_replace(Stage::Leaving);
        assert!(!world.shared.is_ready());
        assert!(idle.closes(Duration::from_millis(200)).await);
        let answer = busy.answer().await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "finished"));
        let late = world.connect().await.call(&text).await;
        assert_eq!(
            late.status, 200,
            "a caller that the balancer still sends is served"
        );
        assert_eq!(late.header("connection"), Some("close"));
    });
}

#[test]
fn a_connection_without_a_request_does_not_outlast_a_planned_stop() {
    run(async {
        let (world, vm) = served().await;
        let mut silent = world.connect().await;
        sleep(Duration::from_millis(50)).await;
        world.shared.stage.send_replace(Stage::Leaving);
        assert!(!silent.closes(Duration::from_millis(1000)).await);
        assert!(silent.closes(Duration::from_millis(1000)).await);
        assert!(vm.seen().is_empty());
    });
}

#[test]
fn many_callers_that_do_nothing_hold_up_nobody() {
    run(async {
        let (world, _vm) = served().await;
        let mut silent = Vec::new();
        for _ in 0..200 {
            silent.push(world.connect().await);
        }
        assert_eq!(world.call("POST", "/once/", "id-2").await.status, 200);
    });
}
