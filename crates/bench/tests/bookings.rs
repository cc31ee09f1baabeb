//! Bookings run at most once, and "not run" means it.

mod support;

use bench::client::{Booking, Client, Fault};
use bench::world::World;
use schema::failure::Verdict;
use schema::objects;
use standin::plain::Faults;
use support::{DESK, executions, no_change, set_store, settle, two_centres};

const BODY: &str = "a deposit";

fn start() -> (World, Client) {
    let world = two_centres().start().expect("a world");
    let client = world.client();
    settle(&world, &client);
    (world, client)
}

fn book(client: &Client, daemon: usize, key: &str) -> Result<Booking, Fault> {
    client.book(daemon, &format!("{DESK}/deposits"), key, BODY)
}

fn set_all(world: &World, faults: Faults) {
    for plain in world.plain_services() {
        plain.set_faults(&faults).expect("the fault");
    }
}

#[test]
fn a_key_runs_once_whichever_daemons_get_it() {
    let (world, client) = start();
    std::thread::scope(|scope| {
        for daemon in 0..12 {
            let client = &client;
            scope.spawn(move || drop(book(client, daemon, "same")));
        }
    });
    assert_eq!(executions(&world, "same"), 1);
    let first = book(&client, 0, "same").expect("the answer");
    let second = book(&client, 2, "same").expect("the answer");
    assert_eq!(first, second);
    assert_eq!(executions(&world, "same"), 1);
}

#[test]
fn a_call_that_may_have_run_is_not_sent_again() {
    let (world, client) = start();
    set_all(
        &world,
        Faults {
            die_after: 1,
            ..Faults::default()
        },
    );
    let fault = book(&client, 0, "lost").expect_err("no answer");
    assert_eq!(fault.verdict(), Some(Verdict::MayHaveRun), "{fault}");
    set_all(&world, Faults::default());
    let again = book(&client, 2, "lost").expect_err("no answer");
    assert_ne!(again.verdict(), Some(Verdict::NotRun), "{again}");
    assert_eq!(executions(&world, "lost"), 1);
    set_all(
        &world,
        Faults {
            die_after: 1,
            ..Faults::default()
        },
    );
    let fault = book(&client, 0, "").expect_err("no answer");
    assert_eq!(fault.verdict(), Some(Verdict::MayHaveRun), "{fault}");
    assert_eq!(executions(&world, ""), 1);
}

#[test]
fn a_refused_call_did_not_run_and_may_come_again() {
    let (world, client) = start();
    set_all(
        &world,
        Faults {
            refuse: true,
            ..Faults::default()
        },
    );
    let fault = book(&client, 0, "refused").expect_err("no answer");
    assert_eq!(fault.verdict(), Some(Verdict::NotRun), "{fault}");
    assert_eq!(executions(&world, "refused"), 0);
    set_all(&world, Faults::default());
    let answer = bench::poll_until(support::PATIENCE, || book(&client, 2, "refused").ok());
    assert!(answer.is_some());
    assert_eq!(executions(&world, "refused"), 1);
}

#[test]
fn without_the_store_a_keyed_call_does_not_run() {
    let (world, client) = start();
    let faults = objects::Faults {
        outage: Some(true),
        ..no_change()
    };
    set_store(&world, &faults);
    let fault = book(&client, 0, "outage").expect_err("no answer");
    assert_eq!(fault.verdict(), Some(Verdict::NotRun), "{fault}");
    assert_eq!(executions(&world, "outage"), 0);
    set_store(
        &world,
        &objects::Faults {
            outage: Some(false),
            ..faults
        },
    );
    let answer = bench::poll_until(support::PATIENCE, || book(&client, 1, "outage").ok());
    assert!(answer.is_some());
    assert_eq!(executions(&world, "outage"), 1);
}

#[test]
fn lost_answers_of_the_store_run_nothing_twice() {
    let (world, client) = start();
    let faults = objects::Faults {
        lose_percent: Some(40),
        seed: Some(7),
        ..no_change()
    };
    set_store(&world, &faults);
    for number in 0..20 {
        let key = format!("lossy-{number}");
        let mut answers = Vec::new();
        for daemon in 0..3 {
            answers.push(book(&client, daemon, &key));
        }
        let ran = executions(&world, &key);
        assert!(ran <= 1, "{key} ran {ran} times: {answers:?}");
        let told_not_run = |answer: &Result<Booking, Fault>| matches!(answer, Err(fault) if fault.verdict() == Some(Verdict::NotRun));
        if answers.iter().all(told_not_run) {
            assert_eq!(ran, 0, "{key} ran though every answer said it did not");
        }
    }
}
