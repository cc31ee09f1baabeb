//! Runs one soak test and checks its records.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::process;
use std::thread;
use std::time::{Duration, Instant};

use super::calls::RecordingClient;
use super::check::check;
use super::history::{Execution, History};
use super::inject::Injector;
use super::load::Caller;
use super::monitor;
use super::options::Options;
use super::recorder::Recorder;
use super::report;
use super::schedule::schedule;
use crate::poll_until;
use crate::world::{Workspace, World};

/// number of concurrent callers
const CALLERS: u64 = 16;

/// name of the callers' workspace
const WORKSPACE: &str = "soak";

/// time limit for all daemons to apply the last revision
const REVISION_TIMEOUT: Duration = Duration::from_secs(13);

/// interval between progress lines
const PROGRESS_INTERVAL: Duration = Duration::from_secs(15);

/// runs a soak test and prints its results; true if all invariants held
pub fn run(options: &Options) -> io::Result<bool> {
    let Options {
        seed,
        minutes,
        shape,
    } = *options;
    println!("soak seed={seed} minutes={minutes} shape={shape}");
    let workspace = Workspace::new(WORKSPACE);
    let key = workspace.key.clone();
    let world = shape.start(workspace)?;
    let recorder = Recorder::new(world.daemons().len());
    run_load(&world, &recorder, options, &key);
    let history = recorder.full_history();
    let findings = check(&history);
    report::print(&history, &findings);
    let held = findings.violations.is_empty();
    if !held {
        println!("logs: {}", keep_logs(&world, seed)?.display());
    }
    println!(
        "seed={seed} shape={shape} violations={}",
        findings.violations.len()
    );
    Ok(held)
}

/// runs callers, faults and monitors until callers and faults have ended
fn run_load(world: &World, recorder: &Recorder, options: &Options, key: &str) {
    let shape = options.shape;
    let length = Duration::from_secs_f64(options.minutes * 60.0);
    let addresses: Vec<_> = world
        .daemons()
        .iter()
        .map(|daemon| daemon.callers)
        .collect();
    let injector = Injector::new(world, recorder, shape);
    let started = Instant::now();
    thread::scope(|scope| {
        for (number, daemon) in world.daemons().iter().enumerate() {
            scope.spawn(move || monitor::watch_daemon(daemon, number, recorder));
        }
        scope.spawn(|| monitor::watch_engines(world, shape.model_service(), recorder));
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let client = RecordingClient::new(key, &addresses, shape.plain_service(), recorder);
                let mut caller = Caller::new(
                    client,
                    recorder,
                    shape.model_service(),
                    (options.seed, number),
                );
                scope.spawn(move || caller.run(started + length))
            })
            .collect();
        let faults: Vec<_> = schedule(options.seed, length)
            .into_iter()
            .map(|fault| {
                let injector = &injector;
                scope.spawn(move || {
                    thread::sleep((started + fault.at).saturating_duration_since(Instant::now()));
                    injector.run(&fault);
                })
            })
            .collect();
        while !callers
            .iter()
            .chain(&faults)
            .all(|thread| thread.is_finished())
        {
            poll_until(PROGRESS_INTERVAL, || {
                let is_done = callers
                    .iter()
                    .chain(&faults)
                    .all(|thread| thread.is_finished());
                is_done.then_some(())
            });
            println!(
                "{:>5} s: {}",
                started.elapsed().as_secs(),
                recorder.progress()
            );
        }
        await_revision(world, recorder);
        collect_records(world, recorder, shape.model_service());
        recorder.finish();
    });
}

/// waits until all daemons have applied the last revision and records the result
fn await_revision(world: &World, recorder: &Recorder) {
    let accepted = accepted_revision(world).unwrap_or(0);
    let applied = || -> Vec<Option<u64>> {
        let daemons = world.daemons().iter();
        daemons.map(|daemon| monitor::revision(daemon)).collect()
    };
    poll_until(REVISION_TIMEOUT, || {
        let is_everywhere = applied().iter().all(|revision| *revision == Some(accepted));
        is_everywhere.then_some(())
    });
    let mut history = recorder.history();
    history.final_state.accepted_revision = accepted;
    history.final_state.daemon_revisions = applied();
}

/// current revision in the store, as printed by the operators' tool
fn accepted_revision(world: &World) -> Option<u64> {
    let printed = world.operator().run(&["get"]).ok()?;
    let first = printed.lines().next()?;
    first.split_whitespace().nth(2)?.parse().ok()
}

/// reads the final records of engines and plain services
fn collect_records(world: &World, recorder: &Recorder, model_service: &str) {
    monitor::copy_records(world, model_service, recorder);
    let records = world.plain_services().iter().map(|plain| plain.record());
    let executions =
        records.flat_map(|record| record.expect("cannot read the record of a plain service"));
    let executions = executions.map(|execution| Execution {
        hash: execution.body_hash,
        at: execution.at,
    });
    let history: &mut History = &mut recorder.history();
    history.executions = executions.collect();
}

/// copies the daemons' complete logs to a folder that outlives the world
fn keep_logs(world: &World, seed: u64) -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("agateloom-soak-{seed}-{}", process::id()));
    fs::create_dir_all(&folder)?;
    for daemon in world.daemons() {
        let log = daemon.with_process(|child| Ok(child.log()))?;
        fs::write(folder.join(format!("{}.log", daemon.vm())), log)?;
    }
    Ok(folder)
}
