//! The object API loses answers, and is out.

use std::time::Duration;

use schema::failure::Verdict;
use schema::objects::Faults;

use super::proof::{Call, Scenes, faults, no_faults, runs_of, store_faults};
use super::{DESK, Stage};

/// a keyed call without the object API is refused within this
const REFUSED_WITHIN: Duration = Duration::from_secs(2);

/// calls under losses
const CALLS: usize = 12;

/// calls of each kind during an outage
const OUTAGE_CALLS: usize = 10;

/// seed of the losses
const SEED: u64 = 11;

pub fn scenes(scenes: &mut Scenes, stage: &Stage) {
    scenes.run("answers of the object API lost after the effect", || {
        lost_answers(stage)
    });
    scenes.run("half of all answers of the object API lost", || {
        lossy(stage)
    });
    scenes.run("the object API is out", || outage(stage));
}

/// the claim's and the outcome's answers are lost one by one; every call is served
fn lost_answers(stage: &Stage) {
    for lost in 1..=4 {
        let lose = Faults {
            lose_answers: Some(lost),
            ..faults()
        };
        store_faults(&stage.world, &lose);
        let name = format!("/lost-{lost}");
        let reply = stage.book(lost as usize % stage.daemons(), &name, &name);
        assert_eq!(reply.status, 200, "{reply:?}");
        store_faults(&stage.world, &no_faults());
        let repeat = stage.book(0, &name, &name);
        assert_eq!((repeat.status, &repeat.body), (200, &reply.body));
        assert_eq!(runs_of(&stage.world, &name), 1);
    }
    stage.wait_served("lost");
}

/// many calls while half of all answers are lost; what is told stays true
fn lossy(stage: &Stage) {
    let lossy = Faults {
        lose_percent: Some(50),
        seed: Some(SEED),
        ..faults()
    };
    store_faults(&stage.world, &lossy);
    let mut served = 0;
    for number in 0..CALLS {
        let name = format!("/lossy-{number}");
        let replies = stage.book_everywhere(&name, &name);
        let runs = runs_of(&stage.world, &name);
        assert!(runs <= 1, "ran {runs} times");
        if replies.iter().any(|reply| reply.status == 200) {
            assert_eq!(runs, 1);
            served += 1;
        }
    }
    store_faults(&stage.world, &no_faults());
    assert!(served * 2 > CALLS, "served {served} of {CALLS}");
    stage.wait_served("lossy");
}

/// keyed calls are refused at once, everything else is served
fn outage(stage: &Stage) {
    let tickets: Vec<String> = (0..OUTAGE_CALLS)
        .map(|number| super::ticket::issue(stage, number % stage.daemons()))
        .collect();
    store_faults(
        &stage.world,
        &Faults {
            outage: Some(true),
            ..faults()
        },
    );
    let mut served = 0;
    for (number, ticket) in tickets.iter().enumerate() {
        let daemon = number % stage.daemons();
        let keyed = format!("/out-keyed-{number}");
        let reply = stage.book(daemon, &keyed, &keyed);
        assert_eq!(reply.verdict(), Some(Verdict::NotRun), "{reply:?}");
        assert!(reply.header("retry-after").is_some(), "{reply:?}");
        assert!(reply.took < REFUSED_WITHIN, "{reply:?}");
        assert_eq!(runs_of(&stage.world, &keyed), 0);
        let plain = stage.book(daemon, &format!("/out-plain-{number}"), "");
        let under_ticket = stage.book(daemon, &format!("/out-ticket-{number}"), ticket);
        let get = Call::new("GET", &format!("/services/{DESK}/out-get")).bearer(&stage.key);
        let get = get.send(stage.address(daemon)).expect("an answer");
        let replies = [plain, under_ticket, get];
        served += replies.iter().filter(|reply| reply.status == 200).count();
    }
    assert_eq!(served, 3 * OUTAGE_CALLS, "of the calls that need no store");
    store_faults(&stage.world, &no_faults());
    stage.wait_served("outage");
    // The refused keys are free: they did not run.
    let late = stage.book(0, "/out-keyed-0", "/out-keyed-0");
    assert_eq!(late.status, 200, "{late:?}");
}
