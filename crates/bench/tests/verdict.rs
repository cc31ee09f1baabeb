//! The verdict `not_run` is true for plain services and completions, however a call fails.
//!
//! Verdicts are compared with the stand-ins' records, also for bytes that arrive late.

mod harness;

#[path = "verdict/invalid_input.rs"]
mod invalid_input;
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

use harness::{Call, Reply, Scenarios, runs_of};

/// plain service
const DESK: &str = "booking-desk";

/// model service
const MODEL: &str = "tasting-assistant";

/// the daemons' time-out of a plain service, milliseconds
const PLAIN_MS: u64 = 2_000;

/// limit for an upstream to be used again after its faults are cleared
const RECOVERED_WITHIN: Duration = Duration::from_secs(15);

/// a world with one upstream VM of each service, and the calls sent to its plain service
pub struct Fixture {
    world: World,
    key: String,
    exchanges: Vec<Exchange>,
    calls: u32,
}

/// a call to a plain service and its reply
#[derive(Debug)]
pub struct Exchange {
    path: String,
    method: &'static str,
    reply: Option<Reply>,
}

impl Fixture {
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
            .expect("world must start");
        Self {
            world,
            key,
            exchanges: Vec::new(),
            calls: 0,
        }
    }

    /// sets the faults of the link to the plain service
    fn set_link_faults(&self, faults: proxy::Faults) {
        let link = self.world.plain_services()[0]
            .machine
            .link()
            .expect("upstream must have a proxy");
        link.set_faults(faults);
    }

    /// creates a call to the plain service with a unique path, and gives that path
    fn call(&mut self, method: &str, keyed: bool, body: &[u8]) -> (String, Call) {
        self.calls += 1;
        let path = format!("/call-{}", self.calls);
        let call = Call::new(method, &format!("/services/{DESK}{path}"));
        let mut call = call.bearer(&self.key).body(body);
        if keyed {
            call = call.header("Idempotency-Key", &format!("key-{}", self.calls));
        }
        (path, call)
    }

    /// records a call and its reply
    fn record(&mut self, path: String, method: &'static str, reply: Option<Reply>) {
        if let Some(reply) = reply.as_ref().filter(|reply| reply.status >= 400) {
            reply.assert_error_body();
        }
        self.exchanges.push(Exchange {
            path,
            method,
            reply,
        });
    }

    /// clears all faults and waits until both daemons use the plain service again
    fn recover(&mut self) {
        self.set_link_faults(proxy::Faults::default());
        let faults = standin::plain::Faults::default();
        self.world.plain_services()[0]
            .set_faults(&faults)
            .expect("set the faults");
        for daemon in 0..self.world.daemons().len() {
            let to = self.world.daemons()[daemon].callers;
            let recovered = poll_until(RECOVERED_WITHIN, || {
                let (_, call) = self.call("GET", false, b"");
                let reply = call.send(to).ok()?;
                (reply.status == 200).then_some(())
            });
            assert!(
                recovered.is_some(),
                "daemon {daemon} did not use the plain service again"
            );
        }
    }

    /// compares all replies with the stand-ins' records
    fn check_verdicts(&self) {
        for exchange in &self.exchanges {
            let runs = runs_of(&self.world, &exchange.path);
            if exchange.method == "POST" {
                assert!(runs <= 1, "ran {runs} times: {exchange:?}");
            }
            let Some(reply) = &exchange.reply else {
                continue;
            };
            match reply.verdict() {
                Some(Verdict::NotRun) => {
                    assert_eq!(runs, 0, "ran despite the verdict not_run: {exchange:?}")
                }
                Some(Verdict::Ran) => assert!(runs > 0, "did not run: {exchange:?}"),
                _ if reply.status < 300 => assert!(runs > 0, "did not run: {exchange:?}"),
                _ => {}
            }
        }
        assert!(!self.exchanges.is_empty());
    }
}

#[test]
fn the_verdict_not_run_is_true() {
    let mut fixture = Fixture::start();
    let mut scenarios = Scenarios::default();
    plain::run_all(&mut scenarios, &mut fixture);
    model::run_all(&mut scenarios, &fixture);
    invalid_input::run_all(&mut scenarios, &mut fixture);
    fixture.recover();
    scenarios.run("the records confirm all verdicts", || {
        fixture.check_verdicts()
    });
    scenarios.finish();
}
