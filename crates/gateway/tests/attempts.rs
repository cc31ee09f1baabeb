//! Responses to callers and requests to VMs when attempts fail in different ways.

mod support;

use std::time::Duration;

use support::{FakeVm, Harness, Script, Step, run};

/// starts two VMs of the service; the second one always responds
async fn start_pair(harness: &Harness, script: Script) -> (FakeVm, FakeVm) {
    let first = FakeVm::start("vm-1", "desk", script).await;
    let second = FakeVm::start("vm-2", "desk", Script::response(200, "second")).await;
    harness.register(&[&first, &second]).await;
    (first, second)
}

/// sends requests until the first VM was chosen for one, and returns its response
async fn call_first(harness: &Harness, first: &FakeVm, path: &str) -> support::Response {
    for number in 0..50 {
        let before = first.requests().len();
        let response = harness.call("POST", path, &format!("id-{number}")).await;
        if first.requests().len() > before {
            return response;
        }
    }
    panic!(
        "the first VM was never chosen: {path}, {:?}",
        first.requests()
    );
}

#[test]
fn response_is_passed_on_unchanged() {
    run(async {
        let harness = Harness::start().await;
        let vm = FakeVm::start("vm-1", "desk", Script::response(201, "the answer")).await;
        harness.register(&[&vm]).await;
        let response = harness.call("POST", "/once/a?b=c", "id-1").await;
        assert_eq!(
            (response.status, response.body.as_str()),
            (201, "the answer")
        );
        assert!(response.is_complete);
        assert_eq!(response.header("x-seal"), Some("seal"));
        let request = &vm.requests()[0];
        assert!(
            request.starts_with("post /once/a?b=c http/1.1"),
            "{request}"
        );
        assert!(
            request.contains("x-instance: vm-1") && request.contains("x-workspace: workspace-1")
        );
        assert!(
            !request.contains("key-1"),
            "the key was sent to the VM: {request}"
        );
    });
}

/// behaviour of the first VM, and the expected status of a request that may run only once and of
/// a repeatable one
fn cases() -> Vec<(&'static str, Script, u16, u16)> {
    let cut = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 100\r\n\r\nshort";
    let foreign = "HTTP/1.1 200 OK\r\nx-id: another\r\ncontent-length: 7\r\n\r\nforeign";
    let write = |text: &str| Script(vec![Step::Write(text.to_owned())]);
    vec![
        ("refuses before execution", Script::not_run(), 200, 200),
        ("resets the connection", Script(vec![Step::Reset]), 502, 200),
        ("closes the connection", Script(vec![Step::Close]), 502, 200),
        (
            "responds with invalid HTTP",
            write("garbage\r\n\r\n").then(Step::Close),
            502,
            200,
        ),
        (
            "truncates its response",
            write(cut).then(Step::Close),
            502,
            200,
        ),
        ("responds to another request", write(foreign), 502, 200),
        (
            "responds with a server error",
            Script::response(500, "failure"),
            500,
            200,
        ),
        ("is another VM", Script::response(421, ""), 200, 200),
    ]
}

#[test]
fn requests_that_may_have_run_are_retried_only_if_repeatable() {
    for (name, script, once, safe) in cases() {
        for (path, status) in [("/once/", once), ("/safe/", safe)] {
            run(async {
                let harness = Harness::start().await;
                let (first, second) = start_pair(&harness, script.clone()).await;
                let response = call_first(&harness, &first, path).await;
                assert_eq!(response.status, status, "{name}, {path}");
                assert!(response.is_complete, "{name}, {path}");
                let id = first.requests()[0].clone();
                let id = id
                    .lines()
                    .find(|line| line.starts_with("x-id"))
                    .expect("a request id");
                let is_retried = second.requests().iter().any(|head| head.contains(id));
                assert_eq!(
                    is_retried,
                    status == 200,
                    "{name}, {path}: sent to the second VM"
                );
            });
        }
    }
}

#[test]
fn refusal_by_the_only_vm_becomes_503_with_retry_after() {
    run(async {
        let harness = Harness::start().await;
        let vm = FakeVm::start("vm-1", "desk", Script::not_run()).await;
        harness.register(&[&vm]).await;
        let response = harness.call("POST", "/once/", "id-1").await;
        assert_eq!(response.status, 503);
        let wait: f64 = response
            .header("retry-after")
            .and_then(|text| text.parse().ok())
            .expect("a retry-after header in seconds");
        assert!(wait > 0.0 && wait < 10.0, "{wait}");
    });
}

#[test]
fn request_without_a_vm_is_refused_at_once() {
    run(async {
        let harness = Harness::start().await;
        let start = std::time::Instant::now();
        let response = harness.call("POST", "/once/", "id-1").await;
        assert_eq!(response.status, 503);
        assert!(start.elapsed() < Duration::from_millis(300));
    });
}

#[test]
fn unreachable_vm_does_not_fail_requests() {
    run(async {
        let harness = Harness::start().await;
        let unreachable = FakeVm::start("vm-1", "desk", Script::response(200, "gone")).await;
        let reachable = FakeVm::start("vm-2", "desk", Script::response(200, "sound")).await;
        let mut entry = unreachable.clone();
        // no process listens on this port
        entry.vm.address.set_port(1);
        harness.register(&[&entry, &reachable]).await;
        for number in 0..20 {
            let response = harness
                .call("POST", "/once/", &format!("id-{number}"))
                .await;
            assert_eq!((response.status, response.body.as_str()), (200, "sound"));
        }
    });
}

#[test]
fn request_to_an_unresponsive_vm_ends_at_its_deadline() {
    run(async {
        let harness = Harness::start().await;
        let unresponsive = Script(vec![Step::Wait(Duration::from_secs(20))]);
        let vm = FakeVm::start("vm-1", "desk", unresponsive).await;
        harness.register(&[&vm]).await;
        let start = std::time::Instant::now();
        let response = harness.call("POST", "/once/", "id-1").await;
        assert_eq!(response.status, 504);
        let took = start.elapsed();
        let deadline = Duration::from_millis(3000);
        assert!(
            took >= deadline && took < deadline + Duration::from_millis(400),
            "{took:?}"
        );
        harness.wait_until(|_| vm.cancelled() == 1).await;
    });
}

#[test]
fn cancelled_request_ends_its_attempt() {
    run(async {
        let harness = Harness::start().await;
        let slow = Script(vec![Step::Wait(Duration::from_secs(20))]);
        let vm = FakeVm::start("vm-1", "desk", slow).await;
        harness.register(&[&vm]).await;
        let mut caller = harness.connect().await;
        let headers = "x-id: id-1\r\nx-key: key-1\r\n";
        caller
            .send(&support::request("POST", "/safe/", headers, "body"))
            .await;
        harness.wait_until(|_| vm.requests().len() == 1).await;
        drop(caller);
        let start = std::time::Instant::now();
        harness.wait_until(|_| vm.cancelled() == 1).await;
        assert!(
            start.elapsed() < Duration::from_millis(400),
            "{:?}",
            start.elapsed()
        );
    });
}

#[test]
fn unsolicited_second_response_is_not_delivered() {
    run(async {
        let harness = Harness::start().await;
        let extra = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 5\r\n\r\nextra";
        let script = Script::response(200, "first").then(Step::Write(extra.to_owned()));
        let vm = FakeVm::start("vm-1", "desk", script).await;
        harness.register(&[&vm]).await;
        for number in 0..20 {
            let response = harness
                .call("POST", "/safe/", &format!("id-{number}"))
                .await;
            assert!(
                response.status != 200 || response.body == "first",
                "{response:?}"
            );
        }
    });
}

/// the second copy arrives where the response to the next request is expected
#[test]
fn late_second_copy_is_not_delivered_to_the_next_caller() {
    run(async {
        for path in ["/safe/", "/once/"] {
            let harness = Harness::start().await;
            let copy =
                "HTTP/1.1 200 OK\r\nx-id: id-0\r\nx-seal: seal\r\ncontent-length: 5\r\n\r\nfirst";
            let script = Script(vec![Step::Write(copy.to_owned())]);
            let vm = FakeVm::start("vm-1", "desk", script).await;
            harness.register(&[&vm]).await;
            assert_eq!(harness.call("POST", path, "id-0").await.body, "first");
            for number in 1..10 {
                let response = harness.call("POST", path, &format!("id-{number}")).await;
                // the request reached the VM, so it may have run
                assert_eq!(response.status, 502, "{path}: {response:?}");
            }
        }
    });
}

/// a refusal of an earlier request, written again while the next one runs
fn stale_refusals() -> Vec<(&'static str, &'static str)> {
    vec![
        (
            "without an id",
            "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
        ),
        (
            "with the id of the earlier request",
            "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-id: earlier\r\ncontent-length: 0\r\n\r\n",
        ),
        (
            "of another VM, without an id",
            "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n",
        ),
    ]
}

#[test]
fn earlier_refusal_on_a_kept_connection_does_not_prove_that_the_next_request_did_not_run() {
    for (name, refusal) in stale_refusals() {
        run(async {
            let harness = Harness::start().await;
            let vm = FakeVm::start("vm-1", "desk", Script::response(200, "first")).await;
            harness.register(&[&vm]).await;
            assert_eq!(harness.call("POST", "/once/", "earlier").await.status, 200);
            let wait = Step::Wait(Duration::from_millis(500));
            vm.set_script(Script(vec![Step::Write(refusal.to_owned()), wait]));
            let response = harness.call("POST", "/once/", "id-1").await;
            assert_eq!(response.status, 502, "{name}");
            assert_eq!(vm.requests().len(), 2, "{name}: sent once");
            assert_eq!(vm.connections(), 1, "{name}: the connection was kept");
        });
    }
}

#[test]
fn refusal_with_the_id_of_the_request_is_believed_on_a_kept_connection() {
    run(async {
        let harness = Harness::start().await;
        let vm = FakeVm::start("vm-1", "desk", Script::response(200, "first")).await;
        harness.register(&[&vm]).await;
        assert_eq!(harness.call("POST", "/once/", "earlier").await.status, 200);
        let refusal =
            "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-id: {id}\r\ncontent-length: 0\r\n\r\n";
        vm.set_script(Script(vec![Step::Write(refusal.to_owned())]));
        assert_eq!(harness.call("POST", "/once/", "id-1").await.status, 503);
    });
}

/// a refusal of the first sending that is written again would have the id of the second one as well
#[test]
fn request_is_sent_to_the_same_vm_again_over_a_new_connection() {
    run(async {
        let harness = Harness::start().await;
        let slow = Script(vec![Step::Wait(Duration::from_millis(200))]);
        let answer = Script::response(200, "first").0.remove(0);
        let vm = FakeVm::start("vm-1", "desk", slow.then(answer)).await;
        harness.register(&[&vm]).await;
        let calls = ["a", "b", "c"].map(|id| harness.call("POST", "/once/", id));
        let [first, second, third] = calls;
        tokio::join!(first, second, third);
        assert_eq!(vm.connections(), 3);
        let refusal =
            "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-id: {id}\r\ncontent-length: 0\r\n\r\n";
        vm.set_script(Script(vec![Step::Write(refusal.to_owned())]));
        let response = harness.call("POST", "/once/", "id-1").await;
        assert_eq!(response.status, 503);
        let repeated = u32::try_from(vm.requests().len()).expect("few requests") - 4;
        assert!(repeated > 0, "the request was sent again");
        assert_eq!(vm.connections(), 3 + repeated);
    });
}
