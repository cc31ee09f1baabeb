//! Event streams that fail, stall or are cancelled.

mod support;

use std::time::Duration;

use gateway::serve::EventBuffer;
use proptest::prelude::*;
use support::{FakeVm, Harness, Script, Step, run};

/// the failure of a VM that goes on to send comments
const COMMENTS: &str = "stalled with comments now and then";

const HEADERS: &str = "x-id: id-1\r\nx-key: key-1\r\nx-time-limit-ms: 5000\r\n";

const GAP: Duration = Duration::from_millis(20);

fn events_text(first: u32, last: u32) -> String {
    (first..=last)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

/// runs a stream whose first VM fails after three events, while the second VM continues with the
/// fourth; returns the response and the second VM
async fn run_failing_stream(path: &str, failure: Vec<Step>) -> (support::Response, FakeVm) {
    let mut script = Script::events(1, 3, GAP);
    script.0.extend(failure);
    run_resumable_stream(path, script).await
}

/// runs a stream at a VM with this script, while a second VM starts that continues with the fourth
/// event; returns the response and the second VM
async fn run_resumable_stream(path: &str, script: Script) -> (support::Response, FakeVm) {
    let harness = Harness::start().await;
    let first = FakeVm::start("vm-1", "desk", script).await;
    harness.register(&[&first]).await;
    let mut caller = harness.connect().await;
    let headers = "x-id: id-1\r\nx-key: key-1\r\nx-time-limit-ms: 5000\r\n";
    caller
        .send(&support::request("POST", path, headers, "body"))
        .await;
    harness.wait_until(|_| first.requests().len() == 1).await;
    let second = FakeVm::start("vm-2", "desk", Script::events(4, 6, GAP).end()).await;
    harness.register(&[&second]).await;
    (caller.response().await, second)
}

fn failures() -> Vec<(&'static str, Vec<Step>)> {
    let wait = Step::Wait(Duration::from_millis(200));
    let partial = Step::Write("10\r\nid: 4\ndata: pie".to_owned());
    let stall = Step::Wait(Duration::from_secs(20));
    vec![
        ("connection reset", vec![wait.clone(), Step::Reset]),
        ("connection closed", vec![wait.clone(), Step::Close]),
        (
            "truncated inside an event",
            vec![wait, partial, Step::Close],
        ),
        ("stalled", vec![stall]),
        (
            "stalled with bytes of an event now and then",
            drip("12\r\nid: 4\ndata: pieces\r\n", "1\r\n.\r\n"),
        ),
        (COMMENTS, drip("6\r\n: on\n\n\r\n", "6\r\n: on\n\n\r\n")),
    ]
}

/// the body of a response; only the VM that sends comments may have caused some
fn without_comments(name: &str, body: &str) -> String {
    if name == COMMENTS {
        return body.replace(": on\n\n", "");
    }
    body.to_owned()
}

/// a first chunk, then others at intervals shorter than the idle time-out
fn drip(first: &str, next: &str) -> Vec<Step> {
    let mut steps = vec![Step::Write(first.to_owned())];
    for _ in 0..40 {
        steps.push(Step::Wait(Duration::from_millis(300)));
        steps.push(Step::Write(next.to_owned()));
    }
    steps
}

#[test]
fn failed_stream_resumes_after_its_last_complete_event() {
    for (name, failure) in failures() {
        run(async {
            let (response, second) = run_failing_stream("/stream/", failure).await;
            assert_eq!(response.status, 200, "{name}");
            let body = without_comments(name, &response.body);
            assert_eq!(body, events_text(1, 6), "{name}");
            assert!(response.is_complete, "{name}");
            let requests = second.requests();
            assert!(
                requests[0].contains("last-event-id: 3"),
                "{name}: {requests:?}"
            );
        });
    }
}

#[test]
fn non_resumable_stream_that_fails_does_not_look_complete() {
    for (name, failure) in failures() {
        run(async {
            let (response, second) = run_failing_stream("/non-resumable/", failure).await;
            assert!(!response.is_complete, "{name}");
            let body = without_comments(name, &response.body);
            assert!(
                events_text(1, 3).starts_with(&body) || body == events_text(1, 3),
                "{name}"
            );
            assert!(second.requests().is_empty(), "{name}");
        });
    }
}

/// the events 1 to 3 and a part of the fourth, under either framing
fn streams_that_end_inside_an_event() -> Vec<(&'static str, Script)> {
    let mut scripts = Vec::new();
    for part in ["i", "id: 4", "id: 4\ndata: pie", "id: 4\ndata: piece 4\n"] {
        let wait = Step::Wait(Duration::from_millis(200));
        let chunk = Step::Write(format!("{:x}\r\n{part}\r\n", part.len()));
        let chunked = Script::events(1, 3, GAP).then(wait.clone());
        scripts.push(("chunked", chunked.then(chunk).end()));
        let part = Step::Write(part.to_owned());
        let unframed = Script::unframed_events(1, 3).then(wait).then(part);
        let unframed = unframed.then(Step::Close);
        scripts.push(("ends with its connection", unframed));
    }
    scripts
}

#[test]
fn stream_that_ends_inside_an_event_does_not_look_complete() {
    for (framing, script) in streams_that_end_inside_an_event() {
        run(async {
            let harness = Harness::start().await;
            let vm = FakeVm::start("vm-1", "desk", script.clone()).await;
            harness.register(&[&vm]).await;
            let response = harness.call("POST", "/non-resumable/", "id-1").await;
            assert!(!response.is_complete, "{framing}: {script:?}: {response:?}");
            assert_eq!(response.body, events_text(1, 3), "{framing}: {script:?}");
        });
    }
}

#[test]
fn stream_that_ends_inside_an_event_is_resumed() {
    for (framing, script) in streams_that_end_inside_an_event() {
        run(async {
            let (response, second) = run_resumable_stream("/stream/", script.clone()).await;
            assert!(response.is_complete, "{framing}: {script:?}");
            assert_eq!(response.body, events_text(1, 6), "{framing}: {script:?}");
            let requests = second.requests();
            assert!(requests[0].contains("last-event-id: 3"), "{requests:?}");
        });
    }
}

#[test]
fn connection_that_ends_before_the_first_event_is_no_empty_stream() {
    run(async {
        let harness = Harness::start().await;
        let script = Script::unframed_events(1, 0).then(Step::Close);
        let vm = FakeVm::start("vm-1", "desk", script).await;
        harness.register(&[&vm]).await;
        let response = harness.call("POST", "/non-resumable/", "id-1").await;
        assert_eq!(response.status, 502, "{response:?}");
    });
}

#[test]
fn truncated_stream_does_not_look_complete_to_an_http_1_0_caller() {
    for (end, is_reset) in [
        (Step::Close, true),
        (Step::Write("0\r\n\r\n".to_owned()), false),
    ] {
        run(async {
            let harness = Harness::start().await;
            let script = Script::events(1, 3, GAP).then(end);
            let vm = FakeVm::start("vm-1", "desk", script).await;
            harness.register(&[&vm]).await;
            let mut caller = harness.connect().await;
            let request = support::request("POST", "/non-resumable/", HEADERS, "body");
            caller.send(&request.replace("HTTP/1.1", "HTTP/1.0")).await;
            let (text, was_reset) = caller.read_to_end().await;
            assert_eq!(was_reset, is_reset, "{text}");
        });
    }
}

#[test]
fn response_that_is_no_stream_ends_with_its_connection() {
    run(async {
        let harness = Harness::start().await;
        let text = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: seal\r\n\
            content-type: application/json\r\n\r\n{\"done\": true}";
        let script = Script(vec![Step::Write(text.to_owned()), Step::Close]);
        let vm = FakeVm::start("vm-1", "desk", script).await;
        harness.register(&[&vm]).await;
        let response = harness.call("POST", "/non-resumable/", "id-1").await;
        assert!(response.is_complete, "{response:?}");
        assert_eq!(response.body, "{\"done\": true}");
    });
}

#[test]
fn stream_without_a_length_ends_with_its_connection() {
    run(async {
        let harness = Harness::start().await;
        let script = Script::unframed_events(1, 3).then(Step::Close);
        let vm = FakeVm::start("vm-1", "desk", script).await;
        harness.register(&[&vm]).await;
        let response = harness.call("POST", "/non-resumable/", "id-1").await;
        assert!(response.is_complete, "{response:?}");
        assert_eq!(response.body, events_text(1, 3));
    });
}

#[test]
fn stream_that_fails_before_its_first_event_is_retried() {
    run(async {
        let harness = Harness::start().await;
        let head = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n";
        let script = Script(vec![Step::Write(head.to_owned()), Step::Reset]);
        let first = FakeVm::start("vm-1", "desk", script).await;
        let second = FakeVm::start("vm-2", "desk", Script::events(1, 3, GAP).end()).await;
        harness.register(&[&first, &second]).await;
        for number in 0..10 {
            let response = harness
                .call("POST", "/stream/", &format!("id-{number}"))
                .await;
            assert_eq!((response.status, response.body), (200, events_text(1, 3)));
        }
        assert!(!first.requests().is_empty());
    });
}

#[test]
fn cancelled_stream_ends_at_its_vm() {
    run(async {
        let harness = Harness::start().await;
        let vm = FakeVm::start("vm-1", "desk", Script::events(1, 500, GAP).end()).await;
        harness.register(&[&vm]).await;
        let mut caller = harness.connect().await;
        let headers = "x-id: id-1\r\nx-key: key-1\r\nx-time-limit-ms: 5000\r\n";
        caller
            .send(&support::request("POST", "/stream/", headers, "body"))
            .await;
        caller.read_until("piece 3").await;
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
fn stream_is_truncated_at_its_deadline() {
    run(async {
        let harness = Harness::start().await;
        let vm = FakeVm::start("vm-1", "desk", Script::events(1, 500, GAP).end()).await;
        harness.register(&[&vm]).await;
        let start = std::time::Instant::now();
        let response = harness.call("POST", "/stream/", "id-1").await;
        assert!(!response.is_complete);
        assert!(
            start.elapsed() < Duration::from_millis(3400),
            "{:?}",
            start.elapsed()
        );
    });
}

proptest! {
    /// however a stream is split into chunks, each event is returned complete and once
    #[test]
    fn events_are_complete_for_any_split(chunk_sizes in prop::collection::vec(1usize..30, 1..60), line_end in prop::sample::select(vec!["\n", "\r\n", "\r"])) {
        let text = events_text(1, 12).replace('\n', line_end);
        let mut events = EventBuffer::new();
        let (mut out, mut at, mut count) = (Vec::new(), 0, 0);
        let mut chunk_sizes = chunk_sizes.iter().cycle();
        while at < text.len() {
            let end = (at + chunk_sizes.next().expect("a chunk size")).min(text.len());
            if let Ok(Some(batch)) = events.push(&text.as_bytes()[at..end]) {
                prop_assert!(batch.bytes.ends_with(line_end.repeat(2).as_bytes()));
                out.extend_from_slice(&batch.bytes);
                count += batch.count;
            }
            at = end;
        }
        prop_assert_eq!(String::from_utf8_lossy(&out).into_owned(), text);
        prop_assert_eq!(count, 12);
        prop_assert_eq!(events.last_id(), Some("12"));
        prop_assert!(!events.ends_inside_event());
    }

    /// a stream cut at any byte ends inside an event unless an event is complete there
    #[test]
    fn a_cut_stream_ends_inside_an_event(cut in 0usize..1000, line_end in prop::sample::select(vec!["\n", "\r\n", "\r"])) {
        let comment = format!(": comment{line_end}");
        let text = events_text(1, 12).replace('\n', line_end);
        let cut = cut % (text.len() + 1);
        let mut events = EventBuffer::new();
        prop_assert!(events.push(&text.as_bytes()[..cut]).is_ok());
        let rest = text[..cut].rsplit(&line_end.repeat(2)).next().unwrap_or_default();
        // the final line feed of a blank line adds nothing to the event
        let is_inside = !rest.trim_end_matches(['\n', '\r']).is_empty() && !rest.ends_with("\r\n\r");
        prop_assert_eq!(events.ends_inside_event(), is_inside, "{:?}", rest);
        if !is_inside {
            prop_assert!(events.push(comment.as_bytes()).is_ok());
            prop_assert!(!events.ends_inside_event());
        }
    }

    /// arbitrary bytes are returned unchanged and never cause a panic
    #[test]
    fn arbitrary_bytes_are_preserved(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..20)) {
        let mut events = EventBuffer::new();
        let (mut pushed, mut returned) = (0, 0);
        for chunk in &chunks {
            pushed += chunk.len();
            if let Ok(Some(batch)) = events.push(chunk) {
                returned += batch.bytes.len();
            }
        }
        prop_assert_eq!(pushed, returned + events.take_rest().len());
    }
}

#[test]
fn server_error_of_a_stream_counts_as_usage() {
    run(async {
        let harness = Harness::start().await;
        let vm = FakeVm::start("vm-1", "desk", Script::response(500, "failed")).await;
        harness.register(&[&vm]).await;
        assert_eq!(
            harness.call("POST", "/non-resumable/", "id-1").await.status,
            500
        );
        let counts = harness.shared.tally.borrow().snapshot();
        let counts: Vec<u64> = counts
            .windows
            .values()
            .flat_map(|counts| counts.values().copied())
            .collect();
        assert_eq!(counts, [1], "usage of the workspace");
    });
}
