//! The object API loses responses or has an outage.

use std::time::Duration;

use schema::failure::Verdict;
use schema::objects::Faults;

use super::harness::{Call, Scenarios, no_change, no_faults, runs_of, set_store_faults};
use super::{DESK, Fixture};

/// limit for refusing a keyed call during an outage
const REFUSED_WITHIN: Duration = Duration::from_secs(2);

/// number of calls while responses are lost
const CALLS: usize = 12;

/// number of calls of each kind during an outage
const OUTAGE_CALLS: usize = 10;

/// seed for the responses that are lost
const SEED: u64 = 11;

pub fn run_all(scenarios: &mut Scenarios, fixture: &Fixture) {
    scenarios.run(
        "single responses of the object API are lost after the write",
        || lost_responses(fixture),
    );
    scenarios.run("half of the responses of the object API are lost", || {
        lossy(fixture)
    });
    scenarios.run("the object API has an outage", || outage(fixture));
}

/// loses each response to the writes of the claim and of the outcome; every call is served
fn lost_responses(fixture: &Fixture) {
    for lost in 1..=4 {
        let lose = Faults {
            lose_answers: Some(lost),
            ..no_change()
        };
        set_store_faults(&fixture.world, &lose);
        let name = format!("/lost-{lost}");
        let reply = fixture.book(lost as usize % fixture.daemons(), &name, &name);
        assert_eq!(reply.status, 200, "{reply:?}");
        set_store_faults(&fixture.world, &no_faults());
        let repeat = fixture.book(0, &name, &name);
        assert_eq!((repeat.status, &repeat.body), (200, &reply.body));
        assert_eq!(runs_of(&fixture.world, &name), 1);
    }
    fixture.wait_served("lost");
}

/// half of all responses are lost; every successful response stands for exactly one run
fn lossy(fixture: &Fixture) {
    let lossy = Faults {
        lose_percent: Some(50),
        seed: Some(SEED),
        ..no_change()
    };
    set_store_faults(&fixture.world, &lossy);
    let mut served = 0;
    for number in 0..CALLS {
        let name = format!("/lossy-{number}");
        let replies = fixture.book_concurrently(&name, &name);
        let runs = runs_of(&fixture.world, &name);
        assert!(runs <= 1, "{name} ran {runs} times");
        if replies.iter().any(|reply| reply.status == 200) {
            assert_eq!(runs, 1);
            served += 1;
        }
    }
    set_store_faults(&fixture.world, &no_faults());
    assert!(served * 2 > CALLS, "served only {served} of {CALLS}");
    fixture.wait_served("lossy");
}

/// keyed calls are refused at once, calls that need no store are served
fn outage(fixture: &Fixture) {
    let tickets: Vec<String> = (0..OUTAGE_CALLS)
        .map(|number| super::ticket::issue(fixture, number % fixture.daemons()))
        .collect();
    set_store_faults(
        &fixture.world,
        &Faults {
            outage: Some(true),
            ..no_change()
        },
    );
    let mut served = 0;
    for (number, ticket) in tickets.iter().enumerate() {
        let daemon = number % fixture.daemons();
        let keyed = format!("/out-keyed-{number}");
        let reply = fixture.book(daemon, &keyed, &keyed);
        assert_eq!(reply.verdict(), Some(Verdict::NotRun), "{reply:?}");
        assert!(reply.header("retry-after").is_some(), "{reply:?}");
        assert!(reply.took < REFUSED_WITHIN, "{reply:?}");
        assert_eq!(runs_of(&fixture.world, &keyed), 0);
        let plain = fixture.book(daemon, &format!("/out-plain-{number}"), "");
        let under_ticket = fixture.book(daemon, &format!("/out-ticket-{number}"), ticket);
        let get = Call::new("GET", &format!("/services/{DESK}/out-get")).bearer(&fixture.key);
        let get = get
            .send(fixture.address(daemon))
            .expect("daemon must respond");
        let replies = [plain, under_ticket, get];
        served += replies.iter().filter(|reply| reply.status == 200).count();
    }
    assert_eq!(
        served,
        3 * OUTAGE_CALLS,
        "a call that needs no store was not served"
    );
    set_store_faults(&fixture.world, &no_faults());
    fixture.wait_served("outage");
    // Refused keys can be used again, since their calls did not run.
    let retried = fixture.book(0, "/out-keyed-0", "/out-keyed-0");
    assert_eq!(retried.status, 200, "{retried:?}");
}
