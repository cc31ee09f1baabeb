//! Polls which configuration each daemon has in force.

use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use bench::process::Program;
use bench::world::{Daemon, World};
use schema::operator::Status;

/// pause between two reads of a daemon's status
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// minimum of observations for a meaningful check
const MIN_OBSERVATIONS: usize = 50;

/// observed status of all daemons, for each daemon in order of time
#[derive(Debug, Default)]
pub struct Watch {
    stop: AtomicBool,
    observations: Mutex<Vec<Observation>>,
}

/// observed status of one daemon
#[derive(Clone, Debug, PartialEq)]
struct Observation {
    vm: String,
    process: u32,
    revision: u64,
    preset: String,
}

/// reads a daemon's status with the command line tool
pub fn status(daemon: &Daemon) -> io::Result<Status> {
    let mut command = Program::Cli.command()?;
    command.arg("--control").arg(daemon.control.to_string());
    command.arg("--operator-key-file");
    command.arg(&daemon.settings.keys.operator_file);
    command.args(["status", "--output", "json"]);
    let output = command.output()?;
    if !output.status.success() {
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        return Err(io::Error::other(error));
    }
    serde_json::from_slice(&output.stdout).map_err(io::Error::other)
}

impl Watch {
    /// polls all daemons while `scenarios` runs
    pub fn run(&self, world: &World, scenarios: impl FnOnce()) {
        thread::scope(|scope| {
            for daemon in world.daemons() {
                scope.spawn(move || {
                    while !self.stop.load(Ordering::Relaxed) {
                        self.poll(daemon);
                        thread::sleep(POLL_INTERVAL);
                    }
                });
            }
            scenarios();
            self.stop.store(true, Ordering::Relaxed);
        });
    }

    fn poll(&self, daemon: &Daemon) {
        let process = || daemon.with_process(|child| Ok(child.id())).unwrap_or(0);
        let process_before = process();
        // A restarting daemon does not respond for a while.
        let Ok(status) = status(daemon) else {
            return;
        };
        if process() != process_before {
            return;
        }
        self.observations
            .lock()
            .expect("lock is poisoned")
            .push(Observation {
                vm: daemon.vm().to_owned(),
                process: process_before,
                revision: status.revision,
                preset: status.preset,
            });
    }

    /// fails if a daemon's revision decreased, or two daemons had different presets at one revision
    ///
    /// A process that has just started has no revision yet, which is allowed.
    ///
    /// # Panics
    /// If one of these was observed, or there are too few observations.
    pub fn check(&self) {
        let observations = self.observations.lock().expect("lock is poisoned");
        assert!(
            observations.len() >= MIN_OBSERVATIONS,
            "only {} observations, expected at least {MIN_OBSERVATIONS}",
            observations.len()
        );
        let mut highest: BTreeMap<&str, &Observation> = BTreeMap::new();
        let mut presets: BTreeMap<u64, &str> = BTreeMap::new();
        for observation in observations
            .iter()
            .filter(|observation| observation.revision > 0)
        {
            if let Some(before) = highest.insert(&observation.vm, observation) {
                assert!(
                    observation.revision >= before.revision,
                    "revision decreased: {before:?}, then {observation:?}"
                );
            }
            let preset = presets
                .entry(observation.revision)
                .or_insert(&observation.preset);
            assert_eq!(
                *preset, observation.preset,
                "presets differ at one revision: {observation:?}"
            );
        }
        let of_process = |observation: &&Observation| (observation.vm.clone(), observation.process);
        let mut started: Vec<(String, u32)> = Vec::new();
        for observation in observations.iter() {
            let key = of_process(&observation);
            let has_started = started.contains(&key);
            assert!(
                !has_started || observation.revision > 0,
                "process lost its revision: {observation:?}"
            );
            if observation.revision > 0 && !has_started {
                started.push(key);
            }
        }
    }
}
