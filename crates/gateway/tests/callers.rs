//! Invalid, oversized and slow requests, idle connections and draining.

mod support;

use std::time::Duration;

use support::{FakeVm, Harness, Script, Step, request, run};
use tokio::time::sleep;

const HEADERS: &str = "x-id: id-1\r\nx-key: key-1\r\n";

async fn start_with_vm() -> (Harness, FakeVm) {
    let harness = Harness::start().await;
    let vm = FakeVm::start("vm-1", "desk", Script::response(200, "served")).await;
    harness.register(&[&vm]).await;
    (harness, vm)
}

#[test]
fn invalid_requests_are_rejected_and_not_forwarded() {
    let long = "a".repeat(1001);
    let head = "a".repeat(20_000);
    let cases = [
        (
            "no id",
            request("POST", "/once/", "x-key: key-1\r\n", ""),
            400,
        ),
        (
            "a body above the limit",
            request("POST", "/once/", HEADERS, &long),
            413,
        ),
        (
            "a head above the limit",
            request("POST", "/once/", &format!("x-a: {head}\r\n"), ""),
            431,
        ),
        (
            "a space before the colon of a header",
            format!("POST /once/ HTTP/1.1\r\nhost: site.example\r\nx-id : id-1\r\n{HEADERS}\r\n"),
            400,
        ),
        (
            "an invalid content length",
            format!(
                "POST /once/ HTTP/1.1\r\nhost: site.example\r\ncontent-length: 5x\r\n{HEADERS}\r\nbody."
            ),
            400,
        ),
        (
            "two content lengths",
            format!(
                "POST /once/ HTTP/1.1\r\nhost: site.example\r\ncontent-length: 5\r\ncontent-length: 6\r\n{HEADERS}\r\nbody."
            ),
            400,
        ),
        ("not HTTP", "hello\r\n\r\n".to_owned(), 400),
        (
            "no host",
            format!("POST /once/ HTTP/1.1\r\n{HEADERS}\r\n"),
            404,
        ),
    ];
    run(async {
        let (harness, vm) = start_with_vm().await;
        for (name, text, status) in &cases {
            let response = harness.connect().await.call(text).await;
            assert_eq!(response.status, *status, "{name}");
        }
        assert!(vm.requests().is_empty(), "{:?}", vm.requests());
        assert_eq!(harness.call("POST", "/once/", "id-9").await.status, 200);
    });
}

#[test]
fn content_length_with_chunked_encoding_smuggles_no_request() {
    run(async {
        let (harness, vm) = start_with_vm().await;
        let hidden = "POST /once/hidden HTTP/1.1\r\nhost: site.example\r\nx-id: id-2\r\nx-key: key-1\r\n\r\n";
        let text = format!(
            "POST /once/ HTTP/1.1\r\nhost: site.example\r\n{HEADERS}content-length: {}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
            hidden.len() + 5
        );
        let mut caller = harness.connect().await;
        caller.call(&text).await;
        sleep(Duration::from_millis(200)).await;
        // whether the length or the chunks are used, the VM must not see another request than the
        // gateway
        for head in vm.requests() {
            assert!(!head.contains("transfer-encoding"), "{head}");
        }
        assert!(vm.requests().len() <= 2);
    });
}

#[test]
fn incomplete_head_closes_only_its_connection() {
    run(async {
        let (harness, _vm) = start_with_vm().await;
        let mut slow = harness.connect().await;
        slow.send("POST /once/ HTTP/1.1\r\nhost:").await;
        assert!(slow.is_closed_within(Duration::from_millis(1500)).await);
        assert_eq!(harness.call("POST", "/once/", "id-2").await.status, 200);
    });
}

#[test]
fn idle_connection_is_closed_after_the_idle_timeout() {
    run(async {
        let (harness, _vm) = start_with_vm().await;
        let mut caller = harness.connect().await;
        let text = request("POST", "/once/", HEADERS, "");
        assert_eq!(caller.call(&text).await.status, 200);
        sleep(Duration::from_millis(1200)).await;
        assert_eq!(caller.call(&text).await.status, 200);
        assert!(caller.is_closed_within(Duration::from_millis(2500)).await);
    });
}

#[test]
fn draining_finishes_requests_and_closes_idle_connections() {
    run(async {
        let harness = Harness::start().await;
        let slow = Script(vec![Step::Wait(Duration::from_millis(500))]);
        let response = Script::response(200, "finished");
        let script = Script(slow.0.into_iter().chain(response.0).collect());
        let vm = FakeVm::start("vm-1", "desk", script).await;
        harness.register(&[&vm]).await;
        let mut idle = harness.connect().await;
        let text = request("POST", "/once/", HEADERS, "");
        assert_eq!(idle.call(&text).await.status, 200);
        let mut busy = harness.connect().await;
        busy.send(&text).await;
        harness.wait_until(|_| vm.requests().len() == 2).await;
        harness.shared.begin_stop();
        assert!(!harness.shared.is_ready());
        assert!(idle.is_closed_within(Duration::from_millis(200)).await);
        let response = busy.response().await;
        assert_eq!((response.status, response.body.as_str()), (200, "finished"));
        let late = harness.connect().await.call(&text).await;
        assert_eq!(
            late.status, 200,
            "a new connection is still served while the load balancer sends callers"
        );
        assert_eq!(late.header("connection"), Some("close"));
    });
}

#[test]
fn draining_closes_connections_without_a_request() {
    run(async {
        let (harness, vm) = start_with_vm().await;
        let mut silent = harness.connect().await;
        sleep(Duration::from_millis(50)).await;
        harness.shared.begin_stop();
        assert!(!silent.is_closed_within(Duration::from_millis(1000)).await);
        assert!(silent.is_closed_within(Duration::from_millis(1000)).await);
        assert!(vm.requests().is_empty());
    });
}

#[test]
fn idle_connections_do_not_delay_other_callers() {
    run(async {
        let (harness, _vm) = start_with_vm().await;
        let mut silent = Vec::new();
        for _ in 0..200 {
            silent.push(harness.connect().await);
        }
        assert_eq!(harness.call("POST", "/once/", "id-2").await.status, 200);
    });
}
