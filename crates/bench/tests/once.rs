//! A non-idempotent call runs at most once, whatever fails.
//!
//! No idempotency key may be in the plain services' records twice. Served calls are counted
//! as well, since a daemon that refuses all calls would pass that check.

mod harness;

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

use harness::{Call, Reply, Scenarios, keys_run_twice, runs_of};

/// plain service
const DESK: &str = "archive-desk";

/// data centre that always reaches the platform
const CONNECTED: &str = "kumamoto-a";

/// data centre that some scenarios cut off from the platform
const CUT_OFF: &str = "kagoshima-a";

/// index of the daemon in [`CUT_OFF`]
const CUT_OFF_DAEMON: usize = 2;

/// limit for the world to serve again after its faults are cleared
const RECOVERED_WITHIN: Duration = Duration::from_secs(15);

/// number of keys that are repeated concurrently
const KEYS: usize = 8;

/// a world of three daemons and two upstream VMs
pub struct Fixture {
    world: World,
    key: String,
}

impl Fixture {
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
                DataCentre::new("kyushu-south", CONNECTED)
                    .daemons(2)
                    .plain_services(DESK, 1),
            )
            .data_centre(
                DataCentre::new("kyushu-south", CUT_OFF)
                    .daemons(1)
                    .plain_services(DESK, 1),
            )
            .start()
            .expect("world must start");
        Self { world, key }
    }

    fn daemons(&self) -> usize {
        self.world.daemons().len()
    }

    fn address(&self, daemon: usize) -> SocketAddr {
        self.world.daemons()[daemon].callers
    }

    /// books at one daemon; no idempotency key is sent if `key` is empty
    fn book(&self, daemon: usize, path: &str, key: &str) -> Reply {
        self.book_with_body(daemon, path, key, "a lantern for two")
    }

    /// books at one daemon with this body
    fn book_with_body(&self, daemon: usize, path: &str, key: &str, body: &str) -> Reply {
        let mut call = Call::new("POST", &format!("/services/{DESK}{path}"));
        call = call.bearer(&self.key).body(body);
        if !key.is_empty() {
            call = call.header("Idempotency-Key", key);
        }
        call.send(self.address(daemon))
            .expect("daemon must respond")
    }

    /// sends the same booking to all daemons concurrently
    fn book_concurrently(&self, path: &str, key: &str) -> Vec<Reply> {
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
                .map(|caller| caller.join().expect("caller panicked"))
                .collect()
        })
    }

    /// sets the faults of both plain services
    fn set_service_faults(&self, faults: plain::Faults) {
        for plain in self.world.plain_services() {
            plain.set_faults(&faults).expect("set the faults");
        }
    }

    /// sets the faults of the links to both plain services
    fn set_link_faults(&self, faults: &proxy::Faults) {
        for plain in self.world.plain_services() {
            let link = plain.machine.link().expect("upstream must have a proxy");
            link.set_faults(faults.clone());
        }
    }

    /// waits until every daemon serves keyed calls
    fn wait_served(&self, scenario: &str) {
        for daemon in 0..self.daemons() {
            let mut tries = 0;
            eventually("the daemon serves keyed calls", RECOVERED_WITHIN, || {
                tries += 1;
                let key = format!("probe-{scenario}-{daemon}-{tries}");
                self.book(daemon, "/probe", &key).status == 200
            });
        }
    }
}

/// fails unless the verdict is `may_have_run`, with a time to retry after
fn assert_may_have_run(reply: &Reply) {
    reply.assert_error_body();
    assert_eq!(reply.verdict(), Some(Verdict::MayHaveRun), "{reply:?}");
    assert!(reply.header("retry-after").is_some(), "{reply:?}");
}

/// concurrent repeats of a key at all daemons run once and get the same response
fn concurrent_repeats(fixture: &Fixture) {
    fixture.set_service_faults(plain::Faults {
        slow_ms: 100,
        ..plain::Faults::default()
    });
    for number in 0..KEYS {
        let path = format!("/at-once-{number}");
        let key = format!("at-once-{number}");
        let replies = fixture.book_concurrently(&path, &key);
        assert_eq!(runs_of(&fixture.world, &path), 1, "{replies:?}");
        let served = replies.iter().filter(|reply| reply.status == 200);
        assert!(served.count() >= 1, "{replies:?}");
        for reply in replies.iter().filter(|reply| reply.status != 200) {
            assert_may_have_run(reply);
        }
        let first = fixture.book(0, &path, &key);
        for daemon in 0..fixture.daemons() {
            let repeat = fixture.book(daemon, &path, &key);
            assert_eq!((repeat.status, &repeat.body), (200, &first.body));
            assert_eq!(repeat.header("idempotent-replayed"), Some("true"));
        }
        let other = fixture.book_with_body(0, &path, &key, "something else");
        assert_eq!(other.status, 422, "{other:?}");
        assert_eq!(other.verdict(), Some(Verdict::NotRun), "{other:?}");
        assert_eq!(runs_of(&fixture.world, &path), 1);
    }
    fixture.set_service_faults(plain::Faults::default());
}

#[test]
fn non_idempotent_calls_run_at_most_once() {
    let fixture = Fixture::start();
    let mut scenarios = Scenarios::default();
    scenarios.run("one key is sent to all daemons concurrently", || {
        concurrent_repeats(&fixture);
    });
    store::run_all(&mut scenarios, &fixture);
    ticket::run_all(&mut scenarios, &fixture);
    holder::run_all(&mut scenarios, &fixture);
    scenarios.run("no key ran twice", || {
        let twice = keys_run_twice(&fixture.world);
        assert!(twice.is_empty(), "{twice:?}");
    });
    scenarios.finish();
}
