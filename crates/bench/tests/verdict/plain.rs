//! Verdicts of calls to plain services: POST with and without an idempotency key, and GET.

use std::thread;
use std::time::Duration;

use bench::eventually;
use schema::failure::Verdict;
use standin::{plain, proxy};

use super::harness::{Reply, Scenarios, runs_of};
use super::{Fixture, PLAIN_MS};

/// limit for reporting a refused connection to the caller
const REFUSED_WITHIN: Duration = Duration::from_secs(3);

/// limit for a call to be in progress
const CALL_STARTED_WITHIN: Duration = Duration::from_secs(10);

/// bytes of a body that takes seconds to send
const LARGE_BODY: usize = 512 * 1024;

/// bandwidth of the link while a large body is sent
const SLOW_BYTES_PER_SECOND: u64 = 256 * 1024;

/// bytes of a large body after which the link is cut
const CUT_AFTER_BYTES: u64 = 96 * 1024;

/// response time of a slow service, milliseconds
const SLOW_RESPONSE_MS: u64 = 1_000;

/// methods, and whether the call has an idempotency key
const KINDS: [(&str, bool); 3] = [("POST", false), ("POST", true), ("GET", false)];

/// when the link is cut
#[derive(Clone, Copy, PartialEq)]
enum CutTime {
    /// while the request is being sent
    DuringRequest,
    /// after the call ran, before its response
    BeforeResponse,
}

pub fn run_all(scenarios: &mut Scenarios, fixture: &mut Fixture) {
    scenarios.run("refused connections have the verdict not_run", || {
        refused_connections(fixture)
    });
    scenarios.run("a refusal with x-not-run has the verdict not_run", || {
        refusals(fixture)
    });
    scenarios.run("connections close before the call runs", || {
        let faults = plain::Faults {
            close_before: 1,
            ..plain::Faults::default()
        };
        single_failure(fixture, faults, 0);
    });
    scenarios.run("the service dies after the call ran", || {
        let faults = plain::Faults {
            die_after: 1,
            ..plain::Faults::default()
        };
        single_failure(fixture, faults, 1);
    });
    scenarios.run("the link is cut while the request is sent", || {
        cut_link(fixture, CutTime::DuringRequest);
    });
    scenarios.run("the link is cut between the call and its response", || {
        cut_link(fixture, CutTime::BeforeResponse);
    });
    scenarios.run("the connection freezes after the call ran", || {
        frozen_connection(fixture)
    });
    scenarios.run(
        "a delayed request arrives after its caller got a response",
        || delayed_request(fixture),
    );
}

/// calls `run` for each kind of call, alternating between the daemons
fn each_kind(fixture: &mut Fixture, mut run: impl FnMut(&mut Fixture, &'static str, bool, usize)) {
    for (number, (method, keyed)) in KINDS.into_iter().enumerate() {
        run(fixture, method, keyed, number % 2);
    }
}

fn send(
    fixture: &mut Fixture,
    method: &'static str,
    keyed: bool,
    daemon: usize,
) -> (String, Reply) {
    let (path, call) = fixture.call(method, keyed, b"a table for six");
    let to = fixture.world.daemons()[daemon].callers;
    let reply = call.send(to).expect("daemon must respond");
    fixture.record(path.clone(), method, Some(reply.clone()));
    (path, reply)
}

fn assert_not_run(reply: &Reply) {
    assert_eq!(reply.verdict(), Some(Verdict::NotRun), "{reply:?}");
    assert!(reply.header("retry-after").is_some(), "{reply:?}");
    assert!(reply.took < REFUSED_WITHIN, "{reply:?}");
}

fn refused_connections(fixture: &mut Fixture) {
    fixture.recover();
    fixture.set_link_faults(proxy::Faults {
        cut: true,
        ..proxy::Faults::default()
    });
    // Three rounds, so that refusals by the circuit breaker occur as well.
    for _ in 0..3 {
        each_kind(fixture, |fixture, method, keyed, daemon| {
            let (_, reply) = send(fixture, method, keyed, daemon);
            assert_not_run(&reply);
        });
    }
}

fn refusals(fixture: &mut Fixture) {
    fixture.recover();
    let faults = plain::Faults {
        refuse: true,
        ..plain::Faults::default()
    };
    fixture.world.plain_services()[0]
        .set_faults(&faults)
        .expect("set the faults");
    each_kind(fixture, |fixture, method, keyed, daemon| {
        let (_, reply) = send(fixture, method, keyed, daemon);
        assert_eq!(reply.verdict(), Some(Verdict::NotRun), "{reply:?}");
        assert!(reply.header("retry-after").is_some(), "{reply:?}");
    });
}

/// one call fails: a POST is not repeated and its verdict is `may_have_run`, a GET is repeated
fn single_failure(fixture: &mut Fixture, faults: plain::Faults, runs: usize) {
    fixture.recover();
    each_kind(fixture, |fixture, method, keyed, daemon| {
        fixture.world.plain_services()[0]
            .set_faults(&faults)
            .expect("set the faults");
        let (path, reply) = send(fixture, method, keyed, daemon);
        if method == "GET" {
            assert_eq!(reply.status, 200, "{reply:?}");
            assert_eq!(runs_of(&fixture.world, &path), runs + 1);
        } else {
            assert_eq!(reply.verdict(), Some(Verdict::MayHaveRun), "{reply:?}");
            assert_eq!(runs_of(&fixture.world, &path), runs);
        }
    });
}

fn cut_link(fixture: &mut Fixture, time: CutTime) {
    each_kind(fixture, |fixture, method, keyed, daemon| {
        fixture.recover();
        let slow_ms = if time == CutTime::BeforeResponse {
            SLOW_RESPONSE_MS
        } else {
            0
        };
        let slow = plain::Faults {
            slow_ms,
            ..plain::Faults::default()
        };
        fixture.world.plain_services()[0]
            .set_faults(&slow)
            .expect("set the faults");
        let size = if time == CutTime::DuringRequest {
            LARGE_BODY
        } else {
            64
        };
        let (path, call) = fixture.call(method, keyed, &vec![b'x'; size]);
        let to = fixture.world.daemons()[daemon].callers;
        let link = fixture.world.plain_services()[0]
            .machine
            .link()
            .expect("upstream must have a proxy");
        if time == CutTime::DuringRequest {
            link.set_bandwidth(SLOW_BYTES_PER_SECOND);
        }
        let before = link.counts().forth;
        let reply = thread::scope(|scope| {
            let caller = scope.spawn(|| call.send(to).ok());
            eventually(
                "the call is in progress",
                CALL_STARTED_WITHIN,
                || match time {
                    CutTime::DuringRequest => link.counts().forth > before + CUT_AFTER_BYTES,
                    CutTime::BeforeResponse => runs_of(&fixture.world, &path) == 1,
                },
            );
            fixture.set_link_faults(proxy::Faults {
                cut: true,
                ..proxy::Faults::default()
            });
            caller.join().expect("caller panicked")
        });
        link.set_bandwidth(0);
        let reply = reply.expect("daemon must respond");
        assert_eq!(reply.verdict(), Some(Verdict::MayHaveRun), "{reply:?}");
        fixture.record(path, method, Some(reply));
    });
}

fn frozen_connection(fixture: &mut Fixture) {
    each_kind(fixture, |fixture, method, keyed, daemon| {
        fixture.recover();
        let slow = plain::Faults {
            slow_ms: SLOW_RESPONSE_MS,
            ..plain::Faults::default()
        };
        fixture.world.plain_services()[0]
            .set_faults(&slow)
            .expect("set the faults");
        let (path, call) = fixture.call(method, keyed, b"a deposit");
        let to = fixture.world.daemons()[daemon].callers;
        let reply = thread::scope(|scope| {
            let caller = scope.spawn(|| call.send(to).ok());
            eventually("the call ran", CALL_STARTED_WITHIN, || {
                runs_of(&fixture.world, &path) == 1
            });
            fixture.set_link_faults(proxy::Faults {
                freeze: true,
                ..proxy::Faults::default()
            });
            caller.join().expect("caller panicked")
        });
        let reply = reply.expect("daemon must respond");
        if method == "GET" {
            assert_eq!(
                reply.status, 200,
                "not repeated on a new connection: {reply:?}"
            );
        } else {
            assert_eq!(reply.verdict(), Some(Verdict::MayHaveRun), "{reply:?}");
            assert!(reply.took < Duration::from_millis(2 * PLAIN_MS));
        }
        fixture.record(path, method, Some(reply));
    });
}

/// the request reaches the service after the caller got its response
fn delayed_request(fixture: &mut Fixture) {
    fixture.recover();
    let mut paths = Vec::new();
    fixture.set_link_faults(proxy::Faults {
        blackhole: true,
        ..proxy::Faults::default()
    });
    for keyed in [false, true] {
        let (path, reply) = send(fixture, "POST", keyed, 0);
        let verdict = reply.verdict();
        assert_eq!(verdict, Some(Verdict::MayHaveRun), "{reply:?}");
        paths.push(path);
    }
}
