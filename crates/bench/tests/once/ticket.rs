//! Tickets: a data centre cut off from the platform continues to accept bookings.

use std::time::Duration;

use bench::eventually;
use schema::failure::Verdict;
use serde::Deserialize;
use standin::proxy;

use super::harness::{Call, Scenarios, runs_of};
use super::{CUT_OFF, CUT_OFF_DAEMON, Fixture, assert_may_have_run};

/// limit for refusing a keyed call in the cut-off data centre
const REFUSED_WITHIN: Duration = Duration::from_secs(3);

/// limit for a daemon to become ready
const READY_WITHIN: Duration = Duration::from_secs(20);

/// number of bookings in the cut-off data centre
const BOOKINGS: usize = 5;

#[derive(Deserialize)]
struct Issued {
    ticket: String,
    expires_in_ms: u64,
}

pub fn run_all(scenarios: &mut Scenarios, fixture: &Fixture) {
    scenarios.run("a data centre is cut off from the platform", || {
        cut_off(fixture)
    });
    scenarios.run("the daemon that issued a ticket is killed", || {
        issuer_killed(fixture)
    });
}

/// requests a ticket from a daemon
pub fn issue(fixture: &Fixture, daemon: usize) -> String {
    let call = Call::new("POST", "/v1/tickets").bearer(&fixture.key);
    let reply = call
        .send(fixture.address(daemon))
        .expect("daemon must respond");
    assert_eq!(reply.status, 201, "{reply:?}");
    let issued: Issued = serde_json::from_str(&reply.body).expect("response must contain a ticket");
    assert!(issued.expires_in_ms > 0);
    issued.ticket
}

fn cut_off(fixture: &Fixture) {
    let link = fixture.world.network().platform_link(CUT_OFF);
    link.set_faults(proxy::Faults {
        cut: true,
        ..proxy::Faults::default()
    });
    let keyed = fixture.book(CUT_OFF_DAEMON, "/cut-keyed", "cut-keyed");
    assert_eq!(keyed.verdict(), Some(Verdict::NotRun), "{keyed:?}");
    assert!(keyed.took < REFUSED_WITHIN, "{keyed:?}");
    for number in 0..BOOKINGS {
        let path = format!("/cut-ticket-{number}");
        let ticket = issue(fixture, CUT_OFF_DAEMON);
        let replies = fixture.book_concurrently(&path, &ticket);
        assert_eq!(runs_of(&fixture.world, &path), 1, "{replies:?}");
        for reply in replies.iter().filter(|reply| reply.status != 200) {
            assert_may_have_run(reply);
        }
        let first = fixture.book(CUT_OFF_DAEMON, &path, &ticket);
        for daemon in 0..fixture.daemons() {
            let repeat = fixture.book(daemon, &path, &ticket);
            assert_eq!((repeat.status, &repeat.body), (200, &first.body));
        }
        let other = fixture.book_with_body(0, &path, &ticket, "something else");
        assert_eq!(other.status, 422, "{other:?}");
        assert_eq!(runs_of(&fixture.world, &path), 1);
    }
    link.set_faults(proxy::Faults::default());
    fixture.wait_served("cut-off");
}

fn issuer_killed(fixture: &Fixture) {
    let used = issue(fixture, 1);
    let unused = issue(fixture, 1);
    let first = fixture.book(1, "/gone-used", &used);
    assert_eq!(first.status, 200, "{first:?}");
    let issuer = &fixture.world.daemons()[1];
    issuer.kill();
    for daemon in [0, CUT_OFF_DAEMON] {
        assert_may_have_run(&fixture.book(daemon, "/gone-used", &used));
        assert_may_have_run(&fixture.book(daemon, "/gone-unused", &unused));
    }
    issuer.start().expect("daemon must start");
    issuer
        .wait_ready(READY_WITHIN)
        .expect("daemon must become ready");
    eventually(
        "the verdict of the restarted daemon for an old ticket is may_have_run",
        READY_WITHIN,
        || {
            let reply = fixture.book(1, "/gone-unused", &unused);
            reply.verdict() == Some(Verdict::MayHaveRun)
        },
    );
    assert_eq!(runs_of(&fixture.world, "/gone-used"), 1);
    assert_eq!(runs_of(&fixture.world, "/gone-unused"), 0);
    fixture.wait_served("issuer");
}
