//! Scenarios of the demo.

use std::io;
use std::time::Duration;

use super::report::Report;
use crate::client::{Answer, Ask, Booking, Fault};
use crate::poll_until;
use crate::world::{Engine, World};

/// name of the model service
pub const MODEL_SERVICE: &str = "homily-models";

/// name of the plain service
pub const PLAIN_SERVICE: &str = "archive-desk";

/// tokens of each completion
const MAX_TOKENS: u32 = 300;

/// tokens of a completion after which the VM or daemon is reclaimed or stopped
const TOKENS_BEFORE_EVENT: usize = 100;

/// time from the preemption notice of a VM to its termination
const NOTICE_SECONDS: u32 = 3;

/// time limit for a reclaimed or stopped process to exit
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);

/// time limit for every daemon to appear in the status
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// polls the operators' tool until its status shows all daemons
pub fn show_status(world: &World, report: &mut Report) {
    let mut text = String::new();
    let mut missing = world.daemons().len();
    poll_until(STATUS_TIMEOUT, || {
        let status = world.operator().run(&["status"]);
        text = status.unwrap_or_else(|error| error.to_string());
        missing = world
            .daemons()
            .iter()
            .filter(|daemon| !text.contains(daemon.vm()))
            .count();
        (missing == 0).then_some(())
    });
    println!("{text}");
    let seen = format!("{missing} of {} are missing", world.daemons().len());
    report.add("the operators' tool shows all daemons", seen, missing == 0);
}

/// reclaims an upstream VM while it streams
pub fn reclaim_upstream(world: &World, report: &mut Report) {
    let ask = Ask::new(
        MODEL_SERVICE,
        "Summarise the sermon of the first Sunday in May.",
        MAX_TOKENS,
    );
    let mut reclaimed = None;
    let answer = world.client().complete_watching(0, &ask, |count| {
        if count == TOKENS_BEFORE_EVENT {
            reclaimed = running_engine(world).map(|engine| engine.machine.vm.clone());
            if let Some(vm) = &reclaimed {
                world.reclaim(vm, NOTICE_SECONDS);
            }
        }
    });
    let vm = reclaimed.unwrap_or_default();
    check_completion(
        report,
        "a stream survives the reclaim of its upstream",
        &ask,
        &answer,
    );
    let has_exited = || {
        let engine = world.engine(&vm)?;
        engine.machine.child.exit_status()
    };
    let exited = poll_until(EXIT_TIMEOUT, has_exited).is_some();
    report.add(
        "the reclaimed upstream exits",
        format!("{vm} exited: {exited}"),
        exited,
    );
}

/// reclaims a daemon's VM while the daemon streams
pub fn reclaim_daemon(world: &World, report: &mut Report) {
    let ask = Ask::new(
        MODEL_SERVICE,
        "Prepare a guide to the botanicals.",
        MAX_TOKENS,
    );
    let daemon = &world.daemons()[1];
    let answer = world.client().complete_watching(1, &ask, |count| {
        if count == TOKENS_BEFORE_EVENT {
            world.reclaim(daemon.vm(), NOTICE_SECONDS);
        }
    });
    let reattached = answer.as_ref().is_ok_and(|answer| answer.reattached > 0);
    check_completion(
        report,
        "a stream survives the reclaim of its daemon",
        &ask,
        &answer,
    );
    report.add(
        "the caller reattaches at another daemon",
        format!("{reattached}"),
        reattached,
    );
}

/// stops a daemon by SIGTERM while it streams
pub fn stop_daemon(world: &World, report: &mut Report) {
    let ask = Ask::new(
        MODEL_SERVICE,
        "Draft an outline of the evening service.",
        MAX_TOKENS,
    );
    let last = world.daemons().len() - 1;
    let daemon = &world.daemons()[last];
    let mut stopped = Ok(());
    let answer = world.client().complete_watching(last, &ask, |count| {
        if count == TOKENS_BEFORE_EVENT {
            stopped = daemon.terminate();
        }
    });
    check_completion(
        report,
        "a stream survives the planned stop of its daemon",
        &ask,
        &answer,
    );
    let ended = daemon.with_process(|child| Ok(child.wait(EXIT_TIMEOUT)));
    let status = ended.ok().flatten();
    let clean = stopped.is_ok() && status.is_some_and(|status| status.success());
    report.add(
        "the stopped daemon exits with success",
        format!("{status:?}"),
        clean,
    );
}

/// sends the same booking to daemons of two data centres
pub fn book_twice(world: &World, report: &mut Report) -> io::Result<()> {
    let last = world.daemons().len() - 1;
    let path = format!("{PLAIN_SERVICE}/dedications");
    let first = world
        .client()
        .book(0, &path, "dedication-7", "a lantern for two");
    let second = world
        .client()
        .book(last, &path, "dedication-7", "a lantern for two");
    let seen = format!("{} / {}", describe(&first), describe(&second));
    let same = matches!((&first, &second), (Ok(a), Ok(b)) if a.body == b.body);
    report.add(
        "a booking repeated with its key gets the same response",
        seen,
        same,
    );
    let mut executions = 0;
    for plain in world.plain_services() {
        let record = plain.record().map_err(io::Error::other)?;
        executions += record
            .iter()
            .filter(|call| call.path.ends_with("/dedications"))
            .count();
    }
    report.add(
        "the booking ran once",
        format!("ran {executions} times"),
        executions == 1,
    );
    Ok(())
}

fn check_completion(
    report: &mut Report,
    expected: &str,
    ask: &Ask,
    answer: &Result<Answer, Fault>,
) {
    match answer {
        Ok(answer) => {
            let complete = answer.text == ask.expected(&ask.engine_prompt());
            let gap = answer.gaps().into_iter().max().unwrap_or_default();
            let seen = format!(
                "{} of {} tokens, longest gap {} ms, reattached {} times",
                answer.token_times.len(),
                ask.max_tokens,
                gap.as_millis(),
                answer.reattached
            );
            report.add(expected, seen, complete);
        }
        Err(fault) => report.add(expected, fault.to_string(), false),
    }
}

/// an engine with a request in progress
fn running_engine(world: &World) -> Option<&Engine> {
    let is_running = |engine: &&Engine| {
        let record = engine.record().unwrap_or_default();
        record.iter().any(|run| !run.ended)
    };
    world.engines().iter().find(is_running)
}

fn describe(result: &Result<Booking, Fault>) -> String {
    match result {
        Ok(booking) => booking.body.clone(),
        Err(fault) => fault.to_string(),
    }
}
