//! Runs one soak from start to judgement.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::process;
use std::thread;
use std::time::{Duration, Instant};

use super::calls::Caller;
use super::facts::{Execution, Facts};
use super::inject::Injector;
use super::judge::judge;
use super::load::Load;
use super::notes::Notes;
use super::options::Options;
use super::report;
use super::schedule::schedule;
use super::watch;
use crate::poll_until;
use crate::world::{Workspace, World};

/// callers at the same time
const CALLERS: u64 = 16;

/// name of the callers' workspace
const WORKSPACE: &str = "soak";

/// time within which the last revision is in force everywhere
const IN_FORCE: Duration = Duration::from_secs(13);

/// period of the lines on the run so far
const PROGRESS: Duration = Duration::from_secs(15);

/// runs a soak and prints what it found; true if all promises held
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
    let notes = Notes::new(world.daemons().len());
    drive(&world, &notes, options, &key);
    let facts = notes.finish();
    let judgement = judge(&facts);
    report::print(&facts, &judgement);
    let held = judgement.violations.is_empty();
    if !held {
        println!("logs: {}", keep_logs(&world, seed)?.display());
    }
    println!(
        "seed={seed} shape={shape} violations={}",
        judgement.violations.len()
    );
    Ok(held)
}

/// callers, faults and watches, until all have ended
fn drive(world: &World, notes: &Notes, options: &Options, key: &str) {
    let shape = options.shape;
    let length = Duration::from_secs_f64(options.minutes * 60.0);
    let addresses: Vec<_> = world
        .daemons()
        .iter()
        .map(|daemon| daemon.callers)
        .collect();
    let injector = Injector::new(world, notes, shape);
    let started = Instant::now();
    thread::scope(|scope| {
        for (number, daemon) in world.daemons().iter().enumerate() {
            scope.spawn(move || watch::daemon(daemon, number, notes));
        }
        scope.spawn(|| watch::engines(world, shape.model(), notes));
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let caller = Caller::new(key, &addresses, shape.desk(), notes);
                let mut load = Load::new(caller, notes, shape.model(), (options.seed, number));
                scope.spawn(move || load.run(started + length))
            })
            .collect();
        let faults: Vec<_> = schedule(options.seed, length)
            .into_iter()
            .map(|event| {
                let injector = &injector;
                scope.spawn(move || {
                    thread::sleep((started + event.at).saturating_duration_since(Instant::now()));
                    injector.run(&event);
                })
            })
            .collect();
        while !callers
            .iter()
            .chain(&faults)
            .all(|thread| thread.is_finished())
        {
            poll_until(PROGRESS, || {
                let is_done = callers
                    .iter()
                    .chain(&faults)
                    .all(|thread| thread.is_finished());
                is_done.then_some(())
            });
            println!("{:>5} s: {}", started.elapsed().as_secs(), notes.progress());
        }
        settle(world, notes);
        collect(world, notes, shape.model());
        notes.end();
    });
}

/// waits until the last revision is in force on all daemons
fn settle(world: &World, notes: &Notes) {
    let accepted = accepted(world).unwrap_or(0);
    let seen = || -> Vec<Option<u64>> {
        let daemons = world.daemons().iter();
        daemons.map(|daemon| watch::revision(daemon)).collect()
    };
    poll_until(IN_FORCE, || {
        let is_everywhere = seen().iter().all(|revision| *revision == Some(accepted));
        is_everywhere.then_some(())
    });
    let mut facts = notes.facts();
    facts.settlement.accepted = accepted;
    facts.settlement.daemons = seen();
}

/// revision that the operators' tool reads
fn accepted(world: &World) -> Option<u64> {
    let printed = world.operator().run(&["get"]).ok()?;
    let first = printed.lines().next()?;
    first.split_whitespace().nth(2)?.parse().ok()
}

/// reads the records for the last time
fn collect(world: &World, notes: &Notes, model: &str) {
    watch::copy_records(world, model, notes);
    let records = world.plains().iter().map(|plain| plain.record());
    let executions = records.flat_map(|record| record.expect("a record of a plain service"));
    let executions = executions.map(|execution| Execution {
        hash: execution.body_hash,
        at: execution.at,
    });
    let facts: &mut Facts = &mut notes.facts();
    facts.executions = executions.collect();
}

/// writes the daemons' whole logs to a folder that stays
fn keep_logs(world: &World, seed: u64) -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("agateloom-soak-{seed}-{}", process::id()));
    fs::create_dir_all(&folder)?;
    for daemon in world.daemons() {
        let log = daemon.with(|child| Ok(child.log()))?;
        fs::write(folder.join(format!("{}.log", daemon.vm())), log)?;
    }
    Ok(folder)
}
