//! Looks at daemons and engines while they run.

use std::thread;
use std::time::Duration;

use schema::cloud::State;
use standin::engine::{self, Run};

use super::facts::{Engine, Sighting};
use super::notes::Notes;
use crate::process::Child;
use crate::world::{Daemon, World};

/// period of health checks and looks at revisions
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// period of looks at the engines' records
const RECORD_PERIOD: Duration = Duration::from_millis(300);

/// metric with the revision in force
const REVISION: &str = "agateloom_revision ";

/// checks a daemon's health and revision until the run is over
pub fn daemon(daemon: &Daemon, number: usize, notes: &Notes) {
    while !notes.is_over() {
        let process = daemon.with(|child: &Child| Ok(child.id()));
        let up = daemon.is_ready();
        notes.set_up(number, up);
        if let (true, Ok(process), Some(revision)) = (up, process, revision(daemon)) {
            let is_same = daemon.with(|child| Ok(child.id())).ok() == Some(process);
            if is_same {
                notes.facts().sightings.push(Sighting {
                    daemon: number,
                    process,
                    revision,
                });
            }
        }
        thread::sleep(CHECK_PERIOD);
    }
}

/// revision in force on a daemon
pub fn revision(daemon: &Daemon) -> Option<u64> {
    let metrics = daemon.metrics().ok()?;
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix(REVISION))?;
    line.trim().parse().ok()
}

/// copies the engines' records until the run is over
pub fn engines(world: &World, model: &str, notes: &Notes) {
    while !notes.is_over() {
        copy_records(world, model, notes);
        thread::sleep(RECORD_PERIOD);
    }
}

/// copies the engines' records once
pub fn copy_records(world: &World, model: &str, notes: &Notes) {
    for vm in engine_vms(world, model, |_| true) {
        for run in record(world, &vm) {
            notes.engine(Engine {
                vm: vm.clone(),
                request_id: run.request_id,
                hash: run.prompt_hash,
                from: run.from,
                generated: run.generated,
                recomputed: run.recomputed,
                started: run.started_at,
            });
        }
    }
}

/// VMs with engines on the cloud's list, in a state that fits
pub fn engine_vms(world: &World, model: &str, fits: impl Fn(State) -> bool) -> Vec<String> {
    let list = world.cloud().list().vms;
    let engines = list
        .into_iter()
        .filter(|vm| vm.upstream.starts_with(model) && fits(vm.state));
    engines.map(|vm| vm.name).collect()
}

/// replaces the faults of an engine
pub fn set_engine(world: &World, vm: &str, faults: engine::Faults) {
    match world.engine(vm) {
        Some(engine) => drop(engine.set_faults(&faults)),
        None => drop(
            world
                .cloud()
                .with_engine(vm, |engine| engine.set_faults(faults)),
        ),
    }
}

fn record(world: &World, vm: &str) -> Vec<Run> {
    match world.engine(vm) {
        Some(engine) => engine.record().unwrap_or_default(),
        None => {
            let record = world.cloud().with_engine(vm, engine::Server::record);
            record.unwrap_or_default()
        }
    }
}
