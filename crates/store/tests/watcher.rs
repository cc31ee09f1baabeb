//! Watches of the configuration under outages, stale reads and unresponsive connections.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{DEADLINE, client, counts, declaration, no_faults, server, set_faults, wait_until};
use crossbeam::channel::{Receiver, unbounded};
use schema::objects::Faults;
use standin::objects::Server;
use store::config::{Options, Outcome, Revision, Timing, Watcher, apply, select_preset};

fn follow(server: &Server, timing: Timing) -> (Watcher, Receiver<Arc<Revision>>) {
    let (sender, revisions) = unbounded();
    let watcher = Watcher::start_with_timing(client(server), sender, timing);
    (watcher, revisions)
}

fn next(revisions: &Receiver<Arc<Revision>>) -> Arc<Revision> {
    revisions
        .recv_timeout(DEADLINE)
        .expect("a revision before the deadline")
}

fn change(server: &Server, preset: &str) -> u64 {
    let options = Options {
        author: "ann",
        expected_revision: None,
    };
    match select_preset(&client(server), preset, options).unwrap() {
        Outcome::Applied(edit) => edit.revision,
        other => panic!("{other:?}"),
    }
}

fn declare(server: &Server) {
    apply(
        &client(server),
        &declaration("ordinary"),
        Options::default(),
    )
    .unwrap();
}

#[test]
fn sends_each_revision_at_once() {
    let server = server();
    let (_watcher, revisions) = follow(&server, Timing::default());
    declare(&server);
    assert_eq!(next(&revisions).number(), 1);
    wait_until("a watch is open", || counts(&server).open_watches == 1);
    let started = Instant::now();
    let number = change(&server, "peak");
    let seen = next(&revisions);
    assert_eq!(
        (seen.number(), seen.declaration.preset.as_str()),
        (number, "peak")
    );
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "not delivered by the watch"
    );
}

#[test]
fn never_reverts_on_stale_reads() {
    let server = server();
    declare(&server);
    let timing = Timing {
        watch_duration: Duration::from_secs(1),
        read_interval: Duration::from_millis(20),
        ..Timing::default()
    };
    let (_watcher, revisions) = follow(&server, timing);
    let mut highest = next(&revisions).number();
    for round in 0..10 {
        set_faults(
            &server,
            &Faults {
                stale_reads: Some(0),
                ..no_faults()
            },
        );
        let preset = if round % 2 == 0 { "peak" } else { "ordinary" };
        let number = change(&server, preset);
        set_faults(
            &server,
            &Faults {
                stale_reads: Some(3),
                ..no_faults()
            },
        );
        while highest < number {
            let seen = next(&revisions).number();
            assert!(seen > highest, "{seen} after {highest}");
            highest = seen;
        }
    }
    assert!(revisions.try_recv().is_err());
}

#[test]
fn catches_up_after_an_outage() {
    let server = server();
    declare(&server);
    let (_watcher, revisions) = follow(&server, Timing::default());
    assert_eq!(next(&revisions).number(), 1);
    set_faults(
        &server,
        &Faults {
            outage: Some(true),
            ..no_faults()
        },
    );
    let refused = counts(&server).refused;
    wait_until("reads are refused", || {
        counts(&server).refused > refused + 2
    });
    set_faults(
        &server,
        &Faults {
            outage: Some(false),
            ..no_faults()
        },
    );
    let number = change(&server, "peak");
    assert_eq!(next(&revisions).number(), number);
}

#[test]
fn recovers_from_an_unresponsive_watch() {
    let server = server();
    declare(&server);
    let (_watcher, revisions) = follow(&server, Timing::default());
    assert_eq!(next(&revisions).number(), 1);
    wait_until("a watch is open", || counts(&server).open_watches == 1);
    set_faults(
        &server,
        &Faults {
            silent_watches: Some(true),
            ..no_faults()
        },
    );
    let number = change(&server, "peak");
    assert_eq!(next(&revisions).number(), number);
}

#[test]
fn follows_a_slow_store_that_loses_responses() {
    let server = server();
    declare(&server);
    let (_watcher, revisions) = follow(&server, Timing::default());
    assert_eq!(next(&revisions).number(), 1);
    let faults = Faults {
        delay_ms: Some(300),
        lose_answers: Some(1),
        ..no_faults()
    };
    set_faults(&server, &faults);
    let number = change(&server, "peak");
    assert_eq!(next(&revisions).number(), number);
}
