//! A call that may not be repeated runs at most once, whatever fails.
//!
//! The record of the plain services is the judge: no key is in it twice. What is
//! served meanwhile is counted too, since refusing everything keeps the promise as well.

mod proof;

#[path = "once/holder.rs"]
mod holder;
#[path = "once/store.rs"]
mod store;
#[path = "once/ticket.rs"]
mod ticket;

use std::net::SocketAddr;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use bench::eventually;
use bench::world::{DataCentre, Workspace, World};
use schema::failure::Verdict;
use schema::settings::Timing;
use standin::{plain, proxy};

use proof::{Call, Reply, Scenes, keys_run_twice, runs_of};

/// plain service of the world
const DESK: &str = "archive-desk";

/// data centre with the store near it
const NEAR: &str = "kumamoto-a";

/// data centre that is cut off at times
const CUT_OFF: &str = "kagoshima-a";

/// daemon in [`CUT_OFF`]
const CUT_OFF_DAEMON: usize = 2;

/// longest wait for a healed world to serve again
const HEALED_WITHIN: Duration = Duration::from_secs(15);

/// keys that are repeated at the same moment
const KEYS: usize = 8;

/// a world of three daemons and two upstream VMs
pub struct Stage {
    world: World,
    key: String,
}

impl Stage {
    fn start() -> Self {
        let workspace = Workspace::new("koe-no-kura");
        let key = workspace.key.clone();
        let timing = Timing {
            plain_ms: 5_000,
            ..Timing::default()
        };
        let world = World::builder()
            .workspace(workspace)
            .timing(timing)
            .upstream_proxies()
            .data_centre(
                DataCentre::new("kyushu-south", NEAR)
                    .daemons(2)
                    .plain_services(DESK, 1),
            )
            .data_centre(
                DataCentre::new("kyushu-south", CUT_OFF)
                    .daemons(1)
                    .plain_services(DESK, 1),
            )
            .start()
            .expect("a world");
        Self { world, key }
    }

    fn daemons(&self) -> usize {
        self.world.daemons().len()
    }

    fn address(&self, daemon: usize) -> SocketAddr {
        self.world.daemons()[daemon].callers
    }

    /// a booking at one daemon; an empty key sends none
    fn book(&self, daemon: usize, path: &str, key: &str) -> Reply {
        self.book_for(daemon, path, key, "a lantern for two")
    }

    /// a booking at one daemon with a body of its own
    fn book_for(&self, daemon: usize, path: &str, key: &str, body: &str) -> Reply {
        let mut call = Call::new("POST", &format!("/services/{DESK}{path}"));
        call = call.bearer(&self.key).body(body);
        if !key.is_empty() {
            call = call.header("Idempotency-Key", key);
        }
        call.send(self.address(daemon)).expect("an answer")
    }

    /// the same booking at all daemons at the same moment
    fn book_everywhere(&self, path: &str, key: &str) -> Vec<Reply> {
        let barrier = Barrier::new(self.daemons());
        thread::scope(|scope| {
            let callers: Vec<_> = (0..self.daemons())
                .map(|daemon| {
                    let barrier = &barrier;
                    scope.spawn(move || {
                        barrier.wait();
                        self.book(daemon, path, key)
                    })
                })
                .collect();
            let replies = callers.into_iter();
            replies
                .map(|caller| caller.join().expect("a caller"))
                .collect()
        })
    }

    /// sets the faults of both plain services
    fn service_faults(&self, faults: plain::Faults) {
        for plain in self.world.plain_services() {
            plain.set_faults(&faults).expect("control");
        }
    }

    /// sets the faults of the lines to both plain services
    fn line_faults(&self, faults: &proxy::Faults) {
        for plain in self.world.plain_services() {
            let link = plain.machine.link().expect("a proxy");
            link.set_faults(faults.clone());
        }
    }

    /// waits until every daemon serves keyed calls
    fn wait_served(&self, scene: &str) {
        for daemon in 0..self.daemons() {
            let mut tries = 0;
            eventually("keyed calls are served", HEALED_WITHIN, || {
                tries += 1;
                let key = format!("probe-{scene}-{daemon}-{tries}");
                self.book(daemon, "/probe", &key).status == 200
            });
        }
    }
}

/// fails unless a repeat under way or lost is told that it may have run
fn assert_may_have_run(reply: &Reply) {
    reply.assert_form();
    assert_eq!(reply.verdict(), Some(Verdict::MayHaveRun), "{reply:?}");
    assert!(reply.header("retry-after").is_some(), "{reply:?}");
}

/// repeats of one key at all daemons at once run once and get one answer
fn repeats_at_once(stage: &Stage) {
    stage.service_faults(plain::Faults {
        slow_ms: 100,
        ..plain::Faults::default()
    });
    for number in 0..KEYS {
        let path = format!("/at-once-{number}");
        let key = format!("at-once-{number}");
        let replies = stage.book_everywhere(&path, &key);
        assert_eq!(runs_of(&stage.world, &path), 1, "{replies:?}");
        let served = replies.iter().filter(|reply| reply.status == 200);
        assert!(served.count() >= 1, "{replies:?}");
        for reply in replies.iter().filter(|reply| reply.status != 200) {
            assert_may_have_run(reply);
        }
        let first = stage.book(0, &path, &key);
        for daemon in 0..stage.daemons() {
            let repeat = stage.book(daemon, &path, &key);
            assert_eq!((repeat.status, &repeat.body), (200, &first.body));
            assert_eq!(repeat.header("idempotent-replayed"), Some("true"));
        }
        let other = stage.book_for(0, &path, &key, "something else");
        assert_eq!(other.status, 422, "{other:?}");
        assert_eq!(other.verdict(), Some(Verdict::NotRun), "{other:?}");
        assert_eq!(runs_of(&stage.world, &path), 1);
    }
    stage.service_faults(plain::Faults::default());
}

#[test]
fn runs_at_most_once() {
    let stage = Stage::start();
    let mut scenes = Scenes::default();
    scenes.run("repeats to all daemons at the same moment", || {
        repeats_at_once(&stage);
    });
    store::scenes(&mut scenes, &stage);
    ticket::scenes(&mut scenes, &stage);
    holder::scenes(&mut scenes, &stage);
    scenes.run("no key is in the record twice", || {
        let twice = keys_run_twice(&stage.world);
        assert!(twice.is_empty(), "{twice:?}");
    });
    scenes.finish();
}
