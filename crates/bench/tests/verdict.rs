//! "Not run" is true, for plain services and completions, under every way a call can break.
//!
//! The stand-ins' records are the judge, also for bytes that arrive late.

mod proof;

#[path = "verdict/bad_input.rs"]
mod bad_input;
#[path = "verdict/model.rs"]
mod model;
#[path = "verdict/plain.rs"]
mod plain;

use std::time::Duration;

use bench::poll_until;
use bench::world::{DataCentre, Workspace, World};
use schema::failure::Verdict;
use schema::settings::Timing;
use standin::proxy;

use proof::{Call, Reply, Scenes, runs_of};

/// plain service of the world
const DESK: &str = "booking-desk";

/// model service of the world
const MODEL: &str = "tasting-assistant";

/// longest wait for the answer of a plain service
const PLAIN_MS: u64 = 2_000;

/// longest wait for a healed upstream to be used again
const HEALED_WITHIN: Duration = Duration::from_secs(15);

/// a world with one upstream VM of each service, and what callers were told
pub struct Stage {
    world: World,
    key: String,
    told: Vec<Told>,
    calls: u32,
}

/// what the caller of a plain service was told
#[derive(Debug)]
pub struct Told {
    path: String,
    method: &'static str,
    reply: Option<Reply>,
}

impl Stage {
    fn start() -> Self {
        let workspace = Workspace::new("thistlewood");
        let key = workspace.key.clone();
        let timing = Timing {
            plain_ms: PLAIN_MS,
            silence_ms: 1_000,
            ..Timing::default()
        };
        let world = World::builder()
            .workspace(workspace)
            .timing(timing)
            .upstream_proxies()
            .data_centre(
                DataCentre::new("piedmont", "piedmont-a")
                    .daemons(2)
                    .engines(MODEL, 1)
                    .plain_services(DESK, 1),
            )
            .start()
            .expect("a world");
        Self {
            world,
            key,
            told: Vec::new(),
            calls: 0,
        }
    }

    /// faults of the line to the plain service
    fn line(&self, faults: proxy::Faults) {
        let link = self.world.plain_services()[0]
            .machine
            .link()
            .expect("a proxy");
        link.set_faults(faults);
    }

    /// a call to the plain service with a path of its own
    fn call(&mut self, method: &str, keyed: bool, body: &[u8]) -> (String, Call) {
        self.calls += 1;
        let mark = format!("/call-{}", self.calls);
        let call = Call::new(method, &format!("/services/{DESK}{mark}"));
        let mut call = call.bearer(&self.key).body(body);
        if keyed {
            call = call.header("Idempotency-Key", &format!("key-{}", self.calls));
        }
        (mark, call)
    }

    /// takes down what a caller was told
    fn note(&mut self, path: String, method: &'static str, reply: Option<Reply>) {
        if let Some(reply) = reply.as_ref().filter(|reply| reply.status >= 400) {
            reply.assert_form();
        }
        self.told.push(Told {
            path,
            method,
            reply,
        });
    }

    /// takes all faults back and waits until both daemons use the plain service again
    fn heal(&mut self) {
        self.line(proxy::Faults::default());
        let faults = standin::plain::Faults::default();
        self.world.plain_services()[0]
            .set_faults(&faults)
            .expect("control");
        for daemon in 0..self.world.daemons().len() {
            let to = self.world.daemons()[daemon].callers;
            let healed = poll_until(HEALED_WITHIN, || {
                let (_, call) = self.call("GET", false, b"");
                let reply = call.send(to).ok()?;
                (reply.status == 200).then_some(())
            });
            assert!(healed.is_some(), "not served again by daemon {daemon}");
        }
    }

    /// compares everything that callers were told with the record
    fn judge(&self) {
        for told in &self.told {
            let runs = runs_of(&self.world, &told.path);
            if told.method == "POST" {
                assert!(runs <= 1, "ran {runs} times: {told:?}");
            }
            let Some(reply) = &told.reply else {
                continue;
            };
            match reply.verdict() {
                Some(Verdict::NotRun) => assert_eq!(runs, 0, "ran, but told not: {told:?}"),
                Some(Verdict::Ran) => assert!(runs > 0, "{told:?}"),
                _ if reply.status < 300 => assert!(runs > 0, "{told:?}"),
                _ => {}
            }
        }
        assert!(!self.told.is_empty());
    }
}

#[test]
fn not_run_is_true() {
    let mut stage = Stage::start();
    let mut scenes = Scenes::default();
    plain::scenes(&mut scenes, &mut stage);
    model::scenes(&mut scenes, &stage);
    bad_input::scenes(&mut scenes, &mut stage);
    stage.heal();
    scenes.run("the record bears out all that was told", || stage.judge());
    scenes.finish();
}
