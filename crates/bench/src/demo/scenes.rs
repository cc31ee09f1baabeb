//! The scenes of the demo.

use std::io;
use std::time::Duration;

use super::report::Report;
use crate::client::{Completion, Error, Request, Response};
use crate::poll_until;
use crate::world::{Engine, World};

/// model service of the demo
pub const MODEL: &str = "homily-models";

/// plain service of the demo
pub const DESK: &str = "archive-desk";

/// tokens of the long completion
const TOKENS: u32 = 300;

/// tokens after which something happens to it
const EVENT_AT: usize = 100;

/// notice of a reclaim, seconds
const NOTICE_SECONDS: u32 = 3;

/// longest wait for what follows from a notice
const PATIENCE: Duration = Duration::from_secs(15);

/// longest time until a new daemon is known everywhere
const KNOWN_WITHIN: Duration = Duration::from_secs(5);

/// an operator asks for the status until it shows all daemons
pub fn show_status(world: &World, report: &mut Report) {
    let mut text = String::new();
    let mut missing = world.daemons().len();
    poll_until(KNOWN_WITHIN, || {
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

/// an upstream VM is reclaimed while it streams
pub fn reclaim_upstream(world: &World, report: &mut Report) {
    let request = Request::new(
        MODEL,
        "Summarise the sermon of the first Sunday in May.",
        TOKENS,
    );
    let mut reclaimed = None;
    let completion = world.client().complete_with_progress(0, &request, |count| {
        if count == EVENT_AT {
            reclaimed = running_engine(world).map(|engine| engine.machine.vm.clone());
            if let Some(vm) = &reclaimed {
                world.reclaim(vm, NOTICE_SECONDS);
            }
        }
    });
    let vm = reclaimed.unwrap_or_default();
    add_answer(
        report,
        "a stream survives the reclaim of its upstream",
        &request,
        &completion,
    );
    let is_gone = || {
        let engine = world.engine(&vm)?;
        engine.machine.child.ended()
    };
    let died = poll_until(PATIENCE, is_gone).is_some();
    report.add("that upstream is gone", format!("{vm} died: {died}"), died);
}

/// a daemon's VM is reclaimed while it streams
pub fn reclaim_daemon(world: &World, report: &mut Report) {
    let request = Request::new(MODEL, "Prepare a guide to the botanicals.", TOKENS);
    let daemon = &world.daemons()[1];
    let completion = world.client().complete_with_progress(1, &request, |count| {
        if count == EVENT_AT {
            world.reclaim(daemon.vm(), NOTICE_SECONDS);
        }
    });
    let moved = completion
        .as_ref()
        .is_ok_and(|completion| completion.reattached > 0);
    add_answer(
        report,
        "a stream survives the reclaim of its daemon",
        &request,
        &completion,
    );
    report.add(
        "its caller came back to another daemon",
        format!("{moved}"),
        moved,
    );
}

/// a daemon is stopped while it streams
pub fn stop_daemon(world: &World, report: &mut Report) {
    let request = Request::new(MODEL, "Draft an outline of the evening service.", TOKENS);
    let last = world.daemons().len() - 1;
    let daemon = &world.daemons()[last];
    let mut stopped = Ok(());
    let completion = world
        .client()
        .complete_with_progress(last, &request, |count| {
            if count == EVENT_AT {
                stopped = daemon.terminate();
            }
        });
    add_answer(
        report,
        "a stream survives the planned stop of its daemon",
        &request,
        &completion,
    );
    let ended = daemon.with(|child| Ok(child.wait(PATIENCE)));
    let status = ended.ok().flatten();
    let clean = stopped.is_ok() && status.is_some_and(|status| status.success());
    report.add("the daemon ends by itself", format!("{status:?}"), clean);
}

/// the same booking goes to daemons of two data centres
pub fn book_twice(world: &World, report: &mut Report) -> io::Result<()> {
    let last = world.daemons().len() - 1;
    let path = format!("{DESK}/dedications");
    let first = world
        .client()
        .call_service(0, &path, "dedication-7", "a lantern for two");
    let second = world
        .client()
        .call_service(last, &path, "dedication-7", "a lantern for two");
    let seen = format!("{} / {}", show(&first), show(&second));
    let same = matches!((&first, &second), (Ok(a), Ok(b)) if a.body == b.body);
    report.add(
        "a booking repeated under its key gets the same answer",
        seen,
        same,
    );
    let mut executions = 0;
    for plain in world.plains() {
        let record = plain.record().map_err(io::Error::other)?;
        executions += record
            .iter()
            .filter(|call| call.path.ends_with("/dedications"))
            .count();
    }
    report.add(
        "it ran once",
        format!("ran {executions} times"),
        executions == 1,
    );
    Ok(())
}

fn add_answer(
    report: &mut Report,
    expected: &str,
    request: &Request,
    completion: &Result<Completion, Error>,
) {
    match completion {
        Ok(completion) => {
            let whole = completion.text == request.expected(&request.engine_prompt());
            let gap = completion
                .token_gaps()
                .into_iter()
                .max()
                .unwrap_or_default();
            let seen = format!(
                "{} of {} tokens, longest gap {} ms, reattached {} times",
                completion.token_times.len(),
                request.max_tokens,
                gap.as_millis(),
                completion.reattached
            );
            report.add(expected, seen, whole);
        }
        Err(error) => report.add(expected, error.to_string(), false),
    }
}

/// the engine that generates now
fn running_engine(world: &World) -> Option<&Engine> {
    let is_running = |engine: &&Engine| {
        let record = engine.record().unwrap_or_default();
        record.iter().any(|run| !run.ended)
    };
    world.engines().iter().find(is_running)
}

fn show(result: &Result<Response, Error>) -> String {
    match result {
        Ok(booking) => booking.body.clone(),
        Err(error) => error.to_string(),
    }
}
