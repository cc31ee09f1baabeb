//! Verdicts of completions, streamed and buffered.

use std::time::{Duration, Instant};

use bench::client::{Error, Request};
use bench::eventually;
use schema::failure::Verdict;
use standin::{engine, proxy};

use super::harness::Scenarios;
use super::{Fixture, MODEL, RECOVERED_WITHIN};

/// deadline of completions that can't be served
const DEADLINE: Duration = Duration::from_secs(1);

/// limit for a failure to reach the caller after the deadline
const REPORTED_WITHIN: Duration = Duration::from_secs(2);

/// tokens of a response
const TOKENS: u32 = 8;

pub fn run_all(scenarios: &mut Scenarios, fixture: &Fixture) {
    scenarios.run(
        "completions: refused connections have the verdict not_run",
        || {
            let link = fixture.world.engines()[0]
                .machine
                .link()
                .expect("upstream must have a proxy");
            link.set_faults(proxy::Faults {
                cut: true,
                ..proxy::Faults::default()
            });
            assert_not_run(fixture, "refused connects");
            link.set_faults(proxy::Faults::default());
            recover(fixture);
        },
    );
    scenarios.run(
        "completions: refusals with x-not-run have the verdict not_run",
        || {
            let refuse = engine::Faults {
                refuse: true,
                ..engine::Faults::default()
            };
            fixture.world.engines()[0]
                .set_faults(&refuse)
                .expect("set the faults");
            assert_not_run(fixture, "refusals");
            recover(fixture);
        },
    );
    scenarios.run(
        "completions: failures before and after the run are retried",
        || single_failures(fixture),
    );
    scenarios.run(
        "completions: an engine lost during a stream does not give not_run",
        || lost_engine(fixture),
    );
}

fn recover(fixture: &Fixture) {
    let faults = engine::Faults::default();
    fixture.world.engines()[0]
        .set_faults(&faults)
        .expect("set the faults");
    for daemon in 0..fixture.world.daemons().len() {
        eventually("the daemon uses the engine again", RECOVERED_WITHIN, || {
            let request = Request::new(MODEL, "probe", 1).deadline(DEADLINE);
            fixture.world.client().complete(daemon, &request).is_ok()
        });
    }
}

fn runs(fixture: &Fixture) -> usize {
    fixture.world.engines()[0]
        .record()
        .expect("read the engine's record")
        .len()
}

/// sends a streamed and a buffered request to each daemon; all must have the verdict `not_run` and
/// none a run on the engine
fn assert_not_run(fixture: &Fixture, prompt: &str) {
    let before = runs(fixture);
    let client = fixture.world.client();
    let request = Request::new(MODEL, prompt, TOKENS).deadline(DEADLINE);
    for daemon in 0..fixture.world.daemons().len() {
        let start = Instant::now();
        let streamed = client
            .complete(daemon, &request)
            .map(|completion| completion.text);
        let buffered = client.complete_unstreamed(daemon, &request);
        let took = start.elapsed();
        for result in [streamed, buffered] {
            let error = result.expect_err("request must fail");
            assert_eq!(error.verdict(), Some(Verdict::NotRun), "{error}");
        }
        assert!(took < 2 * (DEADLINE + REPORTED_WITHIN), "{took:?}");
    }
    assert_eq!(runs(fixture), before, "ran despite the verdict not_run");
}

/// a single failure of the engine is retried, whether or not the completion ran
fn single_failures(fixture: &Fixture) {
    let before = engine::Faults {
        fail_before: 1,
        ..engine::Faults::default()
    };
    let after = engine::Faults {
        fail_after: 1,
        ..engine::Faults::default()
    };
    for (number, faults) in [before, after].iter().enumerate() {
        fixture.world.engines()[0]
            .set_faults(faults)
            .expect("set the faults");
        let request = Request::new(MODEL, &format!("broken {number}"), TOKENS);
        let completion = fixture.world.client().complete(number, &request);
        let completion = completion.expect("completion must succeed");
        assert_eq!(completion.text, request.expected(&request.prompt));
    }
    recover(fixture);
}

/// the link to the engine is cut while it generates tokens
fn lost_engine(fixture: &Fixture) {
    let before = runs(fixture);
    let link = fixture.world.engines()[0]
        .machine
        .link()
        .expect("upstream must have a proxy");
    let request = Request::new(MODEL, "a long guide", 400).deadline(DEADLINE);
    let result = fixture
        .world
        .client()
        .complete_with_progress(0, &request, |count| {
            if count == 2 {
                link.set_faults(proxy::Faults {
                    cut: true,
                    ..proxy::Faults::default()
                });
            }
        });
    let error: Error = result.expect_err("request must fail");
    assert_ne!(error.verdict(), Some(Verdict::NotRun), "{error}");
    assert!(error.verdict().is_some(), "{error}");
    assert!(runs(fixture) > before);
    link.set_faults(proxy::Faults::default());
    recover(fixture);
}
