//! Monitors daemons and engines during a run.

use std::thread;
use std::time::Duration;

use schema::cloud::State;
use standin::engine::{self, Run};

use super::history::{EngineRun, RevisionSample};
use super::recorder::Recorder;
use crate::process::Child;
use crate::world::{Daemon, World};

/// interval between readiness checks, each with a read of the revision
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// interval between reads of the engines' records
const RECORD_INTERVAL: Duration = Duration::from_millis(300);

/// metric with the applied revision
const REVISION_METRIC: &str = "agateloom_revision ";

/// records readiness and revision of a daemon until the run is finished
pub fn watch_daemon(daemon: &Daemon, number: usize, recorder: &Recorder) {
    while !recorder.is_finished() {
        let process = daemon.with_process(|child: &Child| Ok(child.id()));
        let ready = daemon.is_ready();
        recorder.set_ready(number, ready);
        if let (true, Ok(process), Some(revision)) = (ready, process, revision(daemon)) {
            // After a restart in between, the revision may be either process's.
            let is_same = daemon.with_process(|child| Ok(child.id())).ok() == Some(process);
            if is_same {
                recorder.history().revision_samples.push(RevisionSample {
                    daemon: number,
                    process,
                    revision,
                });
            }
        }
        thread::sleep(CHECK_INTERVAL);
    }
}

/// revision that a daemon has applied
pub fn revision(daemon: &Daemon) -> Option<u64> {
    let metrics = daemon.metrics().ok()?;
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix(REVISION_METRIC))?;
    line.trim().parse().ok()
}

/// copies the engines' records until the run is finished, so that those of lost VMs are kept
pub fn watch_engines(world: &World, model_service: &str, recorder: &Recorder) {
    while !recorder.is_finished() {
        copy_records(world, model_service, recorder);
        thread::sleep(RECORD_INTERVAL);
    }
}

/// copies the engines' records once
pub fn copy_records(world: &World, model_service: &str, recorder: &Recorder) {
    for vm in engine_vms(world, model_service, |_| true) {
        for run in record(world, &vm) {
            recorder.record_engine_run(EngineRun {
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

/// names of the VMs with engines on the cloud's list whose state satisfies `fits`
pub fn engine_vms(world: &World, model_service: &str, fits: impl Fn(State) -> bool) -> Vec<String> {
    let list = world.cloud().list().vms;
    let engines = list
        .into_iter()
        .filter(|vm| vm.upstream.starts_with(model_service) && fits(vm.state));
    engines.map(|vm| vm.name).collect()
}

/// replaces the faults of an engine, whether the world or the cloud API started it
pub fn set_engine_faults(world: &World, vm: &str, faults: engine::Faults) {
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
