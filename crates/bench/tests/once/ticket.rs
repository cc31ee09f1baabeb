//! Tickets: a data centre cut off from the platform goes on taking bookings.

use std::time::Duration;

use bench::eventually;
use schema::failure::Verdict;
use serde::Deserialize;
use standin::proxy;

use super::proof::{Call, Scenes, runs_of};
use super::{CUT_OFF, CUT_OFF_DAEMON, Stage, assert_may_have_run};

/// a keyed call in the cut-off data centre is refused within this
const REFUSED_WITHIN: Duration = Duration::from_secs(3);

/// longest wait for a daemon to start
const READY_WITHIN: Duration = Duration::from_secs(20);

/// bookings in the cut-off data centre
const BOOKINGS: usize = 5;

#[derive(Deserialize)]
struct Issued {
    ticket: String,
    expires_in_ms: u64,
}

pub fn scenes(scenes: &mut Scenes, stage: &Stage) {
    scenes.run("a data centre cut off from the platform", || cut_off(stage));
    scenes.run("the daemon that issued a ticket is gone", || {
        issuer_gone(stage)
    });
}

/// fetches a ticket from a daemon
pub fn issue(stage: &Stage, daemon: usize) -> String {
    let call = Call::new("POST", "/v1/tickets").bearer(&stage.key);
    let reply = call.send(stage.address(daemon)).expect("an answer");
    assert_eq!(reply.status, 201, "{reply:?}");
    let issued: Issued = serde_json::from_str(&reply.body).expect("a ticket");
    assert!(issued.expires_in_ms > 0);
    issued.ticket
}

fn cut_off(stage: &Stage) {
    let link = stage.world.network().platform_link(CUT_OFF);
    link.set_faults(proxy::Faults {
        cut: true,
        ..proxy::Faults::default()
    });
    let keyed = stage.book(CUT_OFF_DAEMON, "/cut-keyed", "cut-keyed");
    assert_eq!(keyed.verdict(), Some(Verdict::NotRun), "{keyed:?}");
    assert!(keyed.took < REFUSED_WITHIN, "{keyed:?}");
    for number in 0..BOOKINGS {
        let path = format!("/cut-ticket-{number}");
        let ticket = issue(stage, CUT_OFF_DAEMON);
        let replies = stage.book_everywhere(&path, &ticket);
        assert_eq!(runs_of(&stage.world, &path), 1, "{replies:?}");
        for reply in replies.iter().filter(|reply| reply.status != 200) {
            assert_may_have_run(reply);
        }
        let first = stage.book(CUT_OFF_DAEMON, &path, &ticket);
        for daemon in 0..stage.daemons() {
            let repeat = stage.book(daemon, &path, &ticket);
            assert_eq!((repeat.status, &repeat.body), (200, &first.body));
        }
        let other = stage.book_for(0, &path, &ticket, "something else");
        assert_eq!(other.status, 422, "{other:?}");
        assert_eq!(runs_of(&stage.world, &path), 1);
    }
    link.set_faults(proxy::Faults::default());
    stage.wait_served("cut-off");
}

fn issuer_gone(stage: &Stage) {
    let used = issue(stage, 1);
    let unused = issue(stage, 1);
    let first = stage.book(1, "/gone-used", &used);
    assert_eq!(first.status, 200, "{first:?}");
    let issuer = &stage.world.daemons()[1];
    issuer.kill();
    for daemon in [0, CUT_OFF_DAEMON] {
        assert_may_have_run(&stage.book(daemon, "/gone-used", &used));
        assert_may_have_run(&stage.book(daemon, "/gone-unused", &unused));
    }
    issuer.start().expect("a daemon");
    issuer.wait_ready(READY_WITHIN).expect("a daemon");
    eventually(
        "the new daemon does not know old tickets",
        READY_WITHIN,
        || {
            let reply = stage.book(1, "/gone-unused", &unused);
            reply.verdict() == Some(Verdict::MayHaveRun)
        },
    );
    assert_eq!(runs_of(&stage.world, "/gone-used"), 1);
    assert_eq!(runs_of(&stage.world, "/gone-unused"), 0);
    stage.wait_served("issuer");
}
