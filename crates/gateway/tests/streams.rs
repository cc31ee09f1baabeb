//! Event streams that break, fall silent or are left.

mod support;

use std::time::Duration;

use gateway::serve::Events;
use proptest::prelude::*;
use support::{Script, Step, Upstream, World, run};

const GAP: Duration = Duration::from_millis(20);

fn pieces(first: u32, last: u32) -> String {
    (first..=last)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

/// plays a stream whose first VM breaks in some way after three events; the second VM
/// goes on with the fourth
async fn broken(path: &str, breaks: Vec<Step>) -> (support::Answer, Upstream) {
    let world = World::start().await;
    let mut script = Script::events(1, 3, GAP);
    script.0.extend(breaks);
    let one = Upstream::start("vm-1", "desk", script).await;
    world.register(&[&one]).await;
    let mut caller = world.connect().await;
    let headers = "x-id: id-1\r\nx-key: key-1\r\nx-patience-ms: 5000\r\n";
    caller
        .send(&support::request("POST", path, headers, "body"))
        .await;
    world.until(|_| one.seen().len() == 1).await;
    let other = Upstream::start("vm-2", "desk", Script::events(4, 6, GAP).end()).await;
    world.register(&[&other]).await;
    (caller.answer().await, other)
}

fn ways() -> Vec<(&'static str, Vec<Step>)> {
    let wait = Step::Wait(Duration::from_millis(200));
    let half = Step::Write("10\r\nid: 4\ndata: pie".to_owned());
    let silence = Step::Wait(Duration::from_secs(20));
    vec![
        ("reset", vec![wait.clone(), Step::Reset]),
        ("closed", vec![wait.clone(), Step::Close]),
        ("cut inside an event", vec![wait, half, Step::Close]),
        ("silent", vec![silence]),
    ]
}

#[test]
fn a_broken_stream_goes_on_after_its_last_whole_event() {
    for (name, breaks) in ways() {
        run(async {
            let (answer, other) = broken("/stream/", breaks).await;
            assert_eq!(answer.status, 200, "{name}");
            assert_eq!(answer.body, pieces(1, 6), "{name}");
            assert!(answer.whole, "{name}");
            let seen = other.seen();
            assert!(seen[0].contains("last-event-id: 3"), "{name}: {seen:?}");
        });
    }
}

#[test]
fn a_stream_that_may_not_be_resumed_is_cut_and_does_not_look_complete() {
    for (name, breaks) in ways() {
        run(async {
            let (answer, other) = broken("/whole/", breaks).await;
            assert!(!answer.whole, "{name}");
            assert!(
                pieces(1, 3).starts_with(&answer.body) || answer.body == pieces(1, 3),
                "{name}"
            );
            assert!(other.seen().is_empty(), "{name}");
        });
    }
}

#[test]
fn a_stream_that_breaks_before_its_first_event_starts_anew() {
    run(async {
        let world = World::start().await;
        let head = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n";
        let script = Script(vec![Step::Write(head.to_owned()), Step::Reset]);
        let one = Upstream::start("vm-1", "desk", script).await;
        let other = Upstream::start("vm-2", "desk", Script::events(1, 3, GAP).end()).await;
        world.register(&[&one, &other]).await;
        for turn in 0..10 {
            let answer = world.call("POST", "/stream/", &format!("id-{turn}")).await;
            assert_eq!((answer.status, answer.body), (200, pieces(1, 3)));
        }
        assert!(!one.seen().is_empty());
    });
}

#[test]
fn a_caller_that_leaves_a_stream_ends_it_at_its_vm() {
    run(async {
        let world = World::start().await;
        let vm = Upstream::start("vm-1", "desk", Script::events(1, 500, GAP).end()).await;
        world.register(&[&vm]).await;
        let mut caller = world.connect().await;
        let headers = "x-id: id-1\r\nx-key: key-1\r\nx-patience-ms: 5000\r\n";
        caller
            .send(&support::request("POST", "/stream/", headers, "body"))
            .await;
        caller.until("piece 3").await;
        drop(caller);
        let start = std::time::Instant::now();
        world.until(|_| vm.left() == 1).await;
        assert!(
            start.elapsed() < Duration::from_millis(400),
            "{:?}",
            start.elapsed()
        );
    });
}

#[test]
fn a_stream_is_cut_at_its_time() {
    run(async {
        let world = World::start().await;
        let vm = Upstream::start("vm-1", "desk", Script::events(1, 500, GAP).end()).await;
        world.register(&[&vm]).await;
        let start = std::time::Instant::now();
        let answer = world.call("POST", "/stream/", "id-1").await;
        assert!(!answer.whole);
        assert!(
            start.elapsed() < Duration::from_millis(3400),
            "{:?}",
            start.elapsed()
        );
    });
}

proptest! {
    /// however a stream is cut into pieces, whole events come out, each once
    #[test]
    fn events_come_out_whole(cuts in prop::collection::vec(1usize..30, 1..60), crlf in any::<bool>()) {
        let text = pieces(1, 12);
        let text = if crlf { text.replace('\n', "\r\n") } else { text };
        let mut events = Events::new();
        let (mut out, mut at, mut count) = (Vec::new(), 0, 0);
        let mut cuts = cuts.iter().cycle();
        while at < text.len() {
            let end = (at + cuts.next().expect("a cut")).min(text.len());
            if let Ok(Some(batch)) = events.push(&text.as_bytes()[at..end]) {
                let ends = batch.bytes.ends_with(b"\n\n") || batch.bytes.ends_with(b"\n\r\n");
                prop_assert!(ends);
                out.extend_from_slice(&batch.bytes);
                count += batch.count;
            }
            at = end;
        }
        prop_assert_eq!(String::from_utf8_lossy(&out).into_owned(), text);
        prop_assert_eq!(count, 12);
        prop_assert_eq!(events.last_id(), Some("12"));
    }

    /// no bytes make it fail otherwise than by saying so
    #[test]
    fn any_bytes_are_borne(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..20)) {
        let mut events = Events::new();
        let (mut given, mut taken) = (0, 0);
        for chunk in &chunks {
            given += chunk.len();
            if let Ok(Some(batch)) = events.push(chunk) {
                taken += batch.bytes.len();
            }
        }
        prop_assert_eq!(given, taken + events.rest().len());
    }
}

#[test]
fn a_vm_that_answers_a_stream_with_its_own_failure_has_run_it() {
    run(async {
        let world = World::start().await;
        let vm = Upstream::start("vm-1", "desk", Script::answer(500, "failed")).await;
        world.register(&[&vm]).await;
        assert_eq!(world.call("POST", "/whole/", "id-1").await.status, 500);
        let told = world.shared.tally.borrow().snapshot();
        let counts: Vec<u64> = told
            .windows
            .values()
            .flat_map(|counts| counts.values().copied())
            .collect();
        assert_eq!(counts, [1], "usage of the workspace");
    });
}
