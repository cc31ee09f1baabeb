//! Completions: streams and whole answers.

use std::time::{Duration, Instant};

use bench::client::{Ask, Fault};
use bench::eventually;
use schema::failure::Verdict;
use standin::{engine, proxy};

use super::proof::Scenes;
use super::{HEALED_WITHIN, MODEL, Stage};

/// deadline of completions that can't be served
const DEADLINE: Duration = Duration::from_secs(1);

/// time over its deadline within which a caller is told
const TOLD_WITHIN: Duration = Duration::from_secs(2);

/// tokens of an answer
const TOKENS: u32 = 8;

pub fn scenes(scenes: &mut Scenes, stage: &Stage) {
    scenes.run("completions: refused connects are told as not run", || {
        let link = stage.world.engines()[0].machine.link().expect("a proxy");
        link.set_faults(proxy::Faults {
            cut: true,
            ..proxy::Faults::default()
        });
        not_run(stage, "refused connects");
        link.set_faults(proxy::Faults::default());
        heal(stage);
    });
    scenes.run("completions: refusals by x-not-run are not run", || {
        let refuse = engine::Faults {
            refuse: true,
            ..engine::Faults::default()
        };
        stage.world.engines()[0]
            .set_faults(&refuse)
            .expect("control");
        not_run(stage, "refusals");
        heal(stage);
    });
    scenes.run("completions: broken before and after they run", || {
        broken(stage)
    });
    scenes.run("completions: a lost engine is told as may have run", || {
        frozen(stage)
    });
}

fn heal(stage: &Stage) {
    let faults = engine::Faults::default();
    stage.world.engines()[0]
        .set_faults(&faults)
        .expect("control");
    for daemon in 0..stage.world.daemons().len() {
        eventually("the engine is used again", HEALED_WITHIN, || {
            let ask = Ask::new(MODEL, "probe", 1).deadline(DEADLINE);
            stage.world.client().complete(daemon, &ask).is_ok()
        });
    }
}

fn runs(stage: &Stage) -> usize {
    stage.world.engines()[0].record().expect("a record").len()
}

/// asks both daemons for both forms of an answer; nobody gets one, and the record has none
fn not_run(stage: &Stage, prompt: &str) {
    let before = runs(stage);
    let client = stage.world.client();
    let ask = Ask::new(MODEL, prompt, TOKENS).deadline(DEADLINE);
    for daemon in 0..stage.world.daemons().len() {
        let start = Instant::now();
        let streamed = client.complete(daemon, &ask).map(|answer| answer.text);
        let whole = client.complete_whole(daemon, &ask);
        let took = start.elapsed();
        for told in [streamed, whole] {
            let fault = told.expect_err("an error");
            assert_eq!(fault.verdict(), Some(Verdict::NotRun), "{fault}");
        }
        assert!(took < 2 * (DEADLINE + TOLD_WITHIN), "{took:?}");
    }
    assert_eq!(runs(stage), before, "ran, but told not");
}

/// single failures are made good, whether or not anything ran
fn broken(stage: &Stage) {
    let before = engine::Faults {
        fail_before: 1,
        ..engine::Faults::default()
    };
    let after = engine::Faults {
        fail_after: 1,
        ..engine::Faults::default()
    };
    for (number, faults) in [before, after].iter().enumerate() {
        stage.world.engines()[0]
            .set_faults(faults)
            .expect("control");
        let ask = Ask::new(MODEL, &format!("broken {number}"), TOKENS);
        let answer = stage.world.client().complete(number, &ask);
        let answer = answer.expect("an answer");
        assert_eq!(answer.text, ask.expected(&ask.prompt));
    }
    heal(stage);
}

/// the engine runs it and then says nothing on any connection
fn frozen(stage: &Stage) {
    let before = runs(stage);
    let link = stage.world.engines()[0].machine.link().expect("a proxy");
    let ask = Ask::new(MODEL, "a long guide", 400).deadline(DEADLINE);
    let told = stage.world.client().complete_watching(0, &ask, |count| {
        if count == 2 {
            link.set_faults(proxy::Faults {
                cut: true,
                ..proxy::Faults::default()
            });
        }
    });
    let fault: Fault = told.expect_err("an error");
    assert_ne!(fault.verdict(), Some(Verdict::NotRun), "{fault}");
    assert!(fault.verdict().is_some(), "{fault}");
    assert!(runs(stage) > before);
    link.set_faults(proxy::Faults::default());
    heal(stage);
}
