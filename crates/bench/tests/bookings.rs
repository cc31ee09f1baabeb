//! Bookings run at most once, and the verdict `not_run` means that the call did not run.

mod support;

use bench::client::{Client, Error, Response};
use bench::world::World;
use schema::failure::Verdict;
use schema::objects;
use standin::plain::Faults;
use support::{DESK, executions, no_change, set_store_faults, two_centres, wait_served};

const BODY: &str = "a deposit";

fn start() -> (World, Client) {
    let world = two_centres().start().expect("world must start");
    let client = world.client();
    wait_served(&world, &client);
    (world, client)
}

fn book(client: &Client, daemon: usize, key: &str) -> Result<Response, Error> {
    client.call_service(daemon, &format!("{DESK}/deposits"), key, BODY)
}

fn set_all_faults(world: &World, faults: Faults) {
    for plain in world.plain_services() {
        plain.set_faults(&faults).expect("set the fault");
    }
}

#[test]
fn a_key_runs_once_across_all_daemons() {
    let (world, client) = start();
    std::thread::scope(|scope| {
        for daemon in 0..12 {
            let client = &client;
            scope.spawn(move || drop(book(client, daemon, "same")));
        }
    });
    assert_eq!(executions(&world, "same"), 1);
    let first = book(&client, 0, "same").expect("booking must succeed");
    let second = book(&client, 2, "same").expect("booking must succeed");
    assert_eq!(first, second);
    assert_eq!(executions(&world, "same"), 1);
}

#[test]
fn a_call_that_may_have_run_is_not_repeated() {
    let (world, client) = start();
    set_all_faults(
        &world,
        Faults {
            die_after: 1,
            ..Faults::default()
        },
    );
    let error = book(&client, 0, "lost").expect_err("booking must fail");
    assert_eq!(error.verdict(), Some(Verdict::MayHaveRun), "{error}");
    set_all_faults(&world, Faults::default());
    let again = book(&client, 2, "lost").expect_err("booking must fail");
    assert_ne!(again.verdict(), Some(Verdict::NotRun), "{again}");
    assert_eq!(executions(&world, "lost"), 1);
    set_all_faults(
        &world,
        Faults {
            die_after: 1,
            ..Faults::default()
        },
    );
    let error = book(&client, 0, "").expect_err("booking must fail");
    assert_eq!(error.verdict(), Some(Verdict::MayHaveRun), "{error}");
    assert_eq!(executions(&world, ""), 1);
}

#[test]
fn a_refused_call_did_not_run_and_may_be_repeated() {
    let (world, client) = start();
    set_all_faults(
        &world,
        Faults {
            refuse: true,
            ..Faults::default()
        },
    );
    let error = book(&client, 0, "refused").expect_err("booking must fail");
    assert_eq!(error.verdict(), Some(Verdict::NotRun), "{error}");
    assert_eq!(executions(&world, "refused"), 0);
    set_all_faults(&world, Faults::default());
    let response = bench::poll_until(support::WAIT_TIMEOUT, || book(&client, 2, "refused").ok());
    assert!(response.is_some());
    assert_eq!(executions(&world, "refused"), 1);
}

#[test]
fn a_keyed_call_does_not_run_during_a_store_outage() {
    let (world, client) = start();
    let faults = objects::Faults {
        outage: Some(true),
        ..no_change()
    };
    set_store_faults(&world, &faults);
    let error = book(&client, 0, "outage").expect_err("booking must fail");
    assert_eq!(error.verdict(), Some(Verdict::NotRun), "{error}");
    assert_eq!(executions(&world, "outage"), 0);
    set_store_faults(
        &world,
        &objects::Faults {
            outage: Some(false),
            ..faults
        },
    );
    let response = bench::poll_until(support::WAIT_TIMEOUT, || book(&client, 1, "outage").ok());
    assert!(response.is_some());
    assert_eq!(executions(&world, "outage"), 1);
}

#[test]
fn lost_responses_of_the_store_cause_no_second_run() {
    let (world, client) = start();
    let faults = objects::Faults {
        lose_percent: Some(40),
        seed: Some(7),
        ..no_change()
    };
    set_store_faults(&world, &faults);
    for number in 0..20 {
        let key = format!("lossy-{number}");
        let mut responses = Vec::new();
        for daemon in 0..3 {
            responses.push(book(&client, daemon, &key));
        }
        let ran = executions(&world, &key);
        assert!(ran <= 1, "{key} ran {ran} times: {responses:?}");
        let is_not_run = |response: &Result<Response, Error>| matches!(response, Err(error) if error.verdict() == Some(Verdict::NotRun));
        if responses.iter().all(is_not_run) {
            assert_eq!(
                ran, 0,
                "{key} ran although every response had the verdict not_run"
            );
        }
    }
}
