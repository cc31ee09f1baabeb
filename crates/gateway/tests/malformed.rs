//! Malformed messages of callers, VMs and peers: an error for the sender, and nothing else.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use gateway::peers::{Peer, Report, Reports, Spending, Topology};
use gateway::usage::Snapshot;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::placement::{self, Balancer, Choice, Distance, Load, Member, Prefill, Rate, TimeLimit};
use support::{Caller, FakeVm, Harness, Script, Step, request, run};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// mutated requests, each on a connection of its own
const REQUESTS: usize = 1500;

/// requests after which a sound one has to be served
const CHECK_INTERVAL: usize = 100;

/// time for which a malformed request may keep its connection open
const ANSWER_TIME: Duration = Duration::from_millis(30);

const SERVICE: &str = "desk";
const HEADERS: &str = "x-id: id-1\r\nx-key: key-1\r\nx-time-limit-ms: 2000\r\n";

/// pieces that break a message: framing, control bytes, numbers beyond any range
const PIECES: [&str; 14] = [
    "\r\n",
    "\r\n\r\n",
    "\n",
    "\0",
    ": ",
    "content-length: 99999999999999999999\r\n",
    "content-length: 3\r\n",
    "content-length: -1\r\n",
    "transfer-encoding: chunked\r\n",
    "transfer-encoding: chunked, identity\r\n",
    "x-time-limit-ms: 18446744073709551616\r\n",
    "ffffffffffffffff\r\n",
    "\u{fffd}",
    "GET / HTTP/1.1\r\n",
];

/// inserts, removes or repeats parts of a text
fn mutate(text: &str, rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(0..=bytes.len());
        match rng.random_range(0..4) {
            0 => {
                let piece = PIECES[rng.random_range(0..PIECES.len())];
                bytes.splice(at..at, piece.bytes());
            }
            1 => {
                let end = (at + rng.random_range(1..20)).min(bytes.len());
                bytes.drain(at..end);
            }
            2 => bytes.truncate(at.max(1)),
            _ => {
                let value = rng.random::<u8>();
                if let Some(byte) = bytes.get_mut(at) {
                    *byte = value;
                }
            }
        }
    }
    bytes
}

#[test]
fn mutated_requests_do_not_affect_other_callers() {
    run(async {
        let harness = Harness::start().await;
        let vm = FakeVm::start("vm-1", SERVICE, Script::response(200, "done")).await;
        harness.register(&[&vm]).await;
        let sound = request("POST", "/once/a", HEADERS, "body");
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        for number in 0..REQUESTS {
            let mut caller = Caller::connect(harness.address).await;
            caller.send_bytes(&mutate(&sound, &mut rng)).await;
            caller.is_closed_within(ANSWER_TIME).await;
            if number % CHECK_INTERVAL == 0 {
                let response = harness.call("POST", "/once/a", "id-2").await;
                assert_eq!(response.status, 200, "after {number} requests");
                assert_eq!(response.body, "done");
            }
        }
    });
}

/// a response that ends at any of its bytes is never passed on as a complete one
#[test]
fn cut_responses_never_look_whole() {
    run(async {
        let harness = Harness::start().await;
        let plain =
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: seal\r\ncontent-length: 8\r\n\r\ncomplete";
        let chunked = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n\
            8\r\ncomplete\r\n0\r\n\r\n";
        let events = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n\
            12\r\nid: 1\ndata: one\n\n\r\n12\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";
        let vm = FakeVm::start("vm-1", SERVICE, Script(Vec::new())).await;
        harness.register(&[&vm]).await;
        for (path, text) in [
            ("/once/", plain),
            ("/once/", chunked),
            ("/non-resumable/", events),
        ] {
            for end in (1..text.len()).step_by(3) {
                if text[..end].ends_with("{i") || text[..end].ends_with("{id") {
                    continue;
                }
                let step = Step::Write(text[..end].to_owned());
                let last = if end.is_multiple_of(2) {
                    Step::Close
                } else {
                    Step::Reset
                };
                vm.set_script(Script(vec![step, last]));
                let id = format!("id-{end}");
                let response = harness.call("POST", path, &id).await;
                let looks_whole = response.status == 200 && response.is_complete;
                assert!(!looks_whole, "{path} cut at byte {end}: {response:?}");
            }
        }
    });
}

/// responses without end: what comes first, and what comes again and again
fn endless_responses() -> Vec<(&'static str, &'static str, String)> {
    let head = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: seal\r\n\r\n";
    let chunked =
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n";
    let last_chunk = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n\
        3\r\n: \n\r\n0\r\n";
    let error = "HTTP/1.1 500 Error\r\nx-id: {id}\r\nx-seal: seal\r\n\r\n";
    let interim = "HTTP/1.1 103 Early Hints\r\nx-a: b\r\n\r\n";
    vec![
        ("bytes that are no head", "", "x".repeat(1000)),
        ("empty lines", "", "\r\n".repeat(500)),
        ("interim responses", "", interim.repeat(100)),
        ("trailers", last_chunk, "x-a: b\r\n".repeat(100)),
        ("a status line", "HTTP/1.1 200 ", "O".repeat(1000)),
        ("headers", "HTTP/1.1 200 OK\r\n", "x-a: b\r\n".repeat(100)),
        ("a header", "HTTP/1.1 200 OK\r\nx-a: ", "b".repeat(1000)),
        ("a body", head, "x".repeat(10_000)),
        ("a chunk size", chunked, "0".repeat(1000)),
        (
            "a chunk extension",
            chunked,
            format!("1;{}", "a".repeat(1000)),
        ),
        (
            "chunks",
            chunked,
            "3e8\r\n".to_owned() + &"x".repeat(1000) + "\r\n",
        ),
        ("comments", head, ": on\n\n".repeat(100)),
        ("events", head, "data: x\n\n".repeat(100)),
        ("an error", error, "x".repeat(10_000)),
    ]
}

/// time after the deadline of a request until its connections are closed
const CLOSE_TIME: Duration = Duration::from_millis(500);

/// time-out of the routes
const ROUTE_TIMEOUT: Duration = Duration::from_millis(3000);

#[test]
fn bytes_without_end_end_with_the_request_and_look_incomplete() {
    for pause in [Duration::ZERO, Duration::from_millis(50)] {
        run(async {
            let mut tasks = Vec::new();
            for (name, first, then) in endless_responses() {
                for path in ["/once/", "/non-resumable/"] {
                    let first = Step::Write(first.to_owned());
                    let script = Script(vec![first, Step::Endless(then.clone(), pause)]);
                    tasks.push(spawn_local(async move {
                        let harness = Harness::start().await;
                        let vm = FakeVm::start("vm-1", SERVICE, script).await;
                        harness.register(&[&vm]).await;
                        let start = std::time::Instant::now();
                        let response = harness.call("POST", path, "id-1").await;
                        let looks_whole = response.status == 200 && response.is_complete;
                        assert!(!looks_whole, "{name} at {path}");
                        let limit = ROUTE_TIMEOUT + CLOSE_TIME;
                        assert!(
                            start.elapsed() < limit,
                            "{name} at {path}: {:?}",
                            start.elapsed()
                        );
                        harness.wait_until(|_| vm.cancelled() == 1).await;
                        assert!(
                            start.elapsed() < limit,
                            "{name} at {path}: {:?}",
                            start.elapsed()
                        );
                    }));
                }
            }
            for task in tasks {
                task.await.expect("no failure");
            }
        });
    }
}

/// most bytes that a VM may write before a response, with what the kernel buffers
const MAX_BYTES_BEFORE_RESPONSE: u64 = 12 * 1024 * 1024;

/// a VM that sent interim responses without end kept its daemon busy until the request's deadline
#[test]
fn bytes_without_end_before_a_response_end_at_once() {
    for (name, first, then) in endless_responses() {
        let is_before_body = !first.contains("x-id");
        if !is_before_body {
            continue;
        }
        for path in ["/once/", "/safe/", "/stream/", "/non-resumable/"] {
            run(async {
                let script = Script(vec![
                    Step::Write(first.to_owned()),
                    Step::Endless(then.clone(), Duration::ZERO),
                ]);
                let harness = Harness::start().await;
                let vm = FakeVm::start("vm-1", SERVICE, script).await;
                harness.register(&[&vm]).await;
                let start = std::time::Instant::now();
                let response = harness.call("POST", path, "id-1").await;
                assert_eq!(response.status, 502, "{name} at {path}");
                assert!(start.elapsed() < ROUTE_TIMEOUT / 2, "{name} at {path}");
                let written = vm.written();
                let sent = vm.requests().len() as u64;
                assert!(
                    written < MAX_BYTES_BEFORE_RESPONSE * sent,
                    "{name} at {path}: {written} bytes"
                );
                harness
                    .wait_until(|_| u64::from(vm.cancelled()) == sent)
                    .await;
            });
        }
    }
}

/// most bytes that a VM may write while the caller does not read
const MAX_UNREAD_BYTES: u64 = 16 * 1024 * 1024;

#[test]
fn endless_body_does_not_fill_the_memory_while_its_caller_does_not_read() {
    run(async {
        let harness = Harness::start().await;
        let head = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: seal\r\n\r\n";
        let script = Script(vec![
            Step::Write(head.to_owned()),
            Step::Endless("x".repeat(10_000), Duration::ZERO),
        ]);
        let vm = FakeVm::start("vm-1", SERVICE, script).await;
        harness.register(&[&vm]).await;
        let mut caller = harness.connect().await;
        caller
            .send(&request("POST", "/once/", HEADERS, "body"))
            .await;
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let written = vm.written();
        assert!(written > 100_000, "{written}");
        assert!(written < MAX_UNREAD_BYTES, "{written}");
    });
}

fn any_count(rng: &mut ChaCha8Rng) -> u64 {
    match rng.random_range(0..3) {
        0 => u64::MAX,
        1 => rng.random(),
        _ => rng.random_range(0..100),
    }
}

fn any_report(from: &str, rng: &mut ChaCha8Rng) -> Report {
    let load = Load {
        running: any_count(rng) as u32,
        prefill_tokens: any_count(rng),
        held: any_count(rng),
    };
    let spending = Spending {
        demand: any_count(rng) as f64,
        spent: any_count(rng) as f64,
    };
    let rate = Rate {
        requests: any_count(rng) as f64,
        prefill_tokens: any_count(rng) as f64,
    };
    let counts = HashMap::from([("workspace-1".to_owned(), any_count(rng))]);
    let window = any_count(rng);
    Report {
        from: from.to_owned(),
        zone: "zone-1".to_owned(),
        instance: any_count(rng),
        age_ms: any_count(rng),
        time_ms: any_count(rng),
        loads: HashMap::from([("vm-1".to_owned(), load)]),
        spending: HashMap::from([("workspace-1".to_owned(), spending)]),
        prefills: vec![Prefill {
            service: SERVICE.to_owned(),
            vm: "vm-1".to_owned(),
            parts: vec![(any_count(rng), any_count(rng) as u32)],
        }],
        rates: HashMap::from([(SERVICE.to_owned(), rate)]),
        counts: Snapshot {
            windows: [(window, counts.into_iter().collect())].into(),
        },
        ..Report::default()
    }
}

fn member() -> Member {
    Member {
        id: "vm-1".to_owned(),
        started_at_ms: 0,
        version: String::new(),
        distance: Distance::Zone,
        slots: 8,
        cache_tokens: Some(100_000),
        transfer: None,
        connections: 100,
    }
}

fn placement_request() -> placement::Request<'static> {
    placement::Request {
        service: SERVICE,
        parts: &[(1, 100)],
        prompt_tokens: 1000,
        output_tokens: 100,
        time_limit: TimeLimit::total(Duration::from_secs(2)),
        draw: 0,
        avoid: &[],
        version: None,
    }
}

#[test]
fn extreme_numbers_of_peers_end_no_process() {
    let peers: Vec<Peer> = (0..30)
        .map(|number| Peer {
            name: format!("daemon-{number}"),
            zone: format!("zone-{}", number % 2),
        })
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let now = Instant::now();
    for me in &peers {
        let mut reports = Reports::new(me.clone());
        reports.set_topology(Topology::new(me.clone(), &peers));
        let mut balancer = Balancer::new();
        balancer.set_members(SERVICE, vec![member()]);
        for peer in peers.iter().cycle().take(300) {
            let report = any_report(&peer.name, &mut rng);
            if let Some(report) = reports.receive(report.clone(), now) {
                balancer.set_peer_loads(&report.from, report.loads.clone(), now);
                balancer.add_peer_prefills(&report.prefills, now);
            }
            let choice = balancer.choose(&placement_request(), now);
            assert!(!matches!(choice, Choice::NoVm), "{choice:?}");
            reports.set_local(any_report(&me.name, &mut rng));
            reports.zone_sum(now);
            reports.others(&report, now);
            reports.peer_spending("workspace-1", Duration::from_secs(1), now);
            reports.counts(report.counts.windows.keys().next().copied().unwrap_or(0));
        }
    }
}
