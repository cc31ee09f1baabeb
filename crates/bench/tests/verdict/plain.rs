//! Plain services: keyed and un-keyed POST, and GET.

use std::thread;
use std::time::Duration;

use bench::eventually;
use schema::failure::Verdict;
use standin::{plain, proxy};

use super::proof::{Reply, Scenes, runs_of};
use super::{PLAIN_MS, Stage};

/// a refused connect is told within this
const REFUSED_WITHIN: Duration = Duration::from_secs(3);

/// longest wait for a call to get somewhere
const PATIENCE: Duration = Duration::from_secs(10);

/// bytes of a body that takes its time
const LARGE_BODY: usize = 512 * 1024;

/// bandwidth that a large body is sent over, bytes per second
const SLOW: u64 = 256 * 1024;

/// bytes after which a large body is cut
const CUT_AFTER: u64 = 96 * 1024;

/// time that a service takes until it answers, milliseconds
const SLOW_ANSWER_MS: u64 = 1_000;

/// method, and whether it has an idempotency key
const KINDS: [(&str, bool); 3] = [("POST", false), ("POST", true), ("GET", false)];

/// when a cut comes
#[derive(Clone, Copy, PartialEq)]
enum When {
    /// while the request's bytes are under way
    During,
    /// after the call ran, before its answer
    After,
}

pub fn scenes(scenes: &mut Scenes, stage: &mut Stage) {
    scenes.run("refused connects are told as not run", || refused(stage));
    scenes.run("a refusal by x-not-run is told as not run", || {
        refusing(stage)
    });
    scenes.run("connections that close before the call runs", || {
        let faults = plain::Faults {
            close_before: 1,
            ..plain::Faults::default()
        };
        broken_once(stage, faults, 0);
    });
    scenes.run("a service that dies after the call ran", || {
        let faults = plain::Faults {
            die_after: 1,
            ..plain::Faults::default()
        };
        broken_once(stage, faults, 1);
    });
    scenes.run("a line cut while the request is sent", || {
        cut(stage, When::During);
    });
    scenes.run("a line cut between the call and its answer", || {
        cut(stage, When::After);
    });
    scenes.run("a connection that freezes after the call ran", || {
        frozen(stage)
    });
    scenes.run("a request held back that arrives late", || held_back(stage));
}

/// sends a call of each kind to one daemon after the other
fn each_kind(stage: &mut Stage, mut run: impl FnMut(&mut Stage, &'static str, bool, usize)) {
    for (number, (method, keyed)) in KINDS.into_iter().enumerate() {
        run(stage, method, keyed, number % 2);
    }
}

fn send(stage: &mut Stage, method: &'static str, keyed: bool, daemon: usize) -> (String, Reply) {
    let (mark, call) = stage.call(method, keyed, b"a table for six");
    let to = stage.world.daemons()[daemon].callers;
    let reply = call.send(to).expect("an answer");
    stage.note(mark.clone(), method, Some(reply.clone()));
    (mark, reply)
}

fn assert_not_run(reply: &Reply) {
    assert_eq!(reply.verdict(), Some(Verdict::NotRun), "{reply:?}");
    assert!(reply.header("retry-after").is_some(), "{reply:?}");
    assert!(reply.took < REFUSED_WITHIN, "{reply:?}");
}

fn refused(stage: &mut Stage) {
    stage.heal();
    stage.line(proxy::Faults {
        cut: true,
        ..proxy::Faults::default()
    });
    // Again and again, so that the breaker's refusals are seen as well.
    for _ in 0..3 {
        each_kind(stage, |stage, method, keyed, daemon| {
            let (_, reply) = send(stage, method, keyed, daemon);
            assert_not_run(&reply);
        });
    }
}

fn refusing(stage: &mut Stage) {
    stage.heal();
    let faults = plain::Faults {
        refuse: true,
        ..plain::Faults::default()
    };
    stage.world.plain_services()[0]
        .set_faults(&faults)
        .expect("control");
    each_kind(stage, |stage, method, keyed, daemon| {
        let (_, reply) = send(stage, method, keyed, daemon);
        assert_eq!(reply.verdict(), Some(Verdict::NotRun), "{reply:?}");
        assert!(reply.header("retry-after").is_some(), "{reply:?}");
    });
}

/// one call breaks; a POST is told so and not repeated, a GET is sent again
fn broken_once(stage: &mut Stage, faults: plain::Faults, runs: usize) {
    stage.heal();
    each_kind(stage, |stage, method, keyed, daemon| {
        stage.world.plain_services()[0]
            .set_faults(&faults)
            .expect("control");
        let (mark, reply) = send(stage, method, keyed, daemon);
        if method == "GET" {
            assert_eq!(reply.status, 200, "{reply:?}");
            assert_eq!(runs_of(&stage.world, &mark), runs + 1);
        } else {
            assert_eq!(reply.verdict(), Some(Verdict::MayHaveRun), "{reply:?}");
            assert_eq!(runs_of(&stage.world, &mark), runs);
        }
    });
}

fn cut(stage: &mut Stage, when: When) {
    each_kind(stage, |stage, method, keyed, daemon| {
        stage.heal();
        let slow_ms = if when == When::After {
            SLOW_ANSWER_MS
        } else {
            0
        };
        let slow = plain::Faults {
            slow_ms,
            ..plain::Faults::default()
        };
        stage.world.plain_services()[0]
            .set_faults(&slow)
            .expect("control");
        let size = if when == When::During { LARGE_BODY } else { 64 };
        let (mark, call) = stage.call(method, keyed, &vec![b'x'; size]);
        let to = stage.world.daemons()[daemon].callers;
        let link = stage.world.plain_services()[0]
            .machine
            .link()
            .expect("a proxy");
        if when == When::During {
            link.set_bandwidth(SLOW);
        }
        let before = link.counts().forth;
        let reply = thread::scope(|scope| {
            let caller = scope.spawn(|| call.send(to).ok());
            eventually("the call is under way", PATIENCE, || match when {
                When::During => link.counts().forth > before + CUT_AFTER,
                When::After => runs_of(&stage.world, &mark) == 1,
            });
            stage.line(proxy::Faults {
                cut: true,
                ..proxy::Faults::default()
            });
            caller.join().expect("a caller")
        });
        link.set_bandwidth(0);
        let reply = reply.expect("an answer");
        assert_eq!(reply.verdict(), Some(Verdict::MayHaveRun), "{reply:?}");
        stage.note(mark, method, Some(reply));
    });
}

fn frozen(stage: &mut Stage) {
    each_kind(stage, |stage, method, keyed, daemon| {
        stage.heal();
        let slow = plain::Faults {
            slow_ms: SLOW_ANSWER_MS,
            ..plain::Faults::default()
        };
        stage.world.plain_services()[0]
            .set_faults(&slow)
            .expect("control");
        let (mark, call) = stage.call(method, keyed, b"a deposit");
        let to = stage.world.daemons()[daemon].callers;
        let reply = thread::scope(|scope| {
            let caller = scope.spawn(|| call.send(to).ok());
            eventually("the call ran", PATIENCE, || {
                runs_of(&stage.world, &mark) == 1
            });
            stage.line(proxy::Faults {
                freeze: true,
                ..proxy::Faults::default()
            });
            caller.join().expect("a caller")
        });
        let reply = reply.expect("an answer");
        if method == "GET" {
            assert_eq!(reply.status, 200, "new connections work: {reply:?}");
        } else {
            assert_eq!(reply.verdict(), Some(Verdict::MayHaveRun), "{reply:?}");
            assert!(reply.took < Duration::from_millis(2 * PLAIN_MS));
        }
        stage.note(mark, method, Some(reply));
    });
}

/// the bytes reach the service after the caller was answered
fn held_back(stage: &mut Stage) {
    stage.heal();
    let mut marks = Vec::new();
    stage.line(proxy::Faults {
        blackhole: true,
        ..proxy::Faults::default()
    });
    for keyed in [false, true] {
        let (mark, reply) = send(stage, "POST", keyed, 0);
        let told = reply.verdict();
        assert_eq!(told, Some(Verdict::MayHaveRun), "{reply:?}");
        marks.push(mark);
    }
}
