//! Watches what every daemon says is in force.

use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use bench::process::Program;
use bench::world::{Daemon, World};
use schema::operator::Status;

/// pause between two looks at one daemon
const PERIOD: Duration = Duration::from_millis(250);

/// fewest looks that count as watching
const FEWEST_LOOKS: usize = 50;

/// what was seen, daemon by daemon and in order
#[derive(Debug, Default)]
pub struct Watch {
    stop: AtomicBool,
    seen: Mutex<Vec<Seen>>,
}

/// one look at one daemon
#[derive(Clone, Debug, PartialEq)]
struct Seen {
    vm: String,
    process: u32,
    revision: u64,
    preset: String,
}

/// what a daemon says, by the operators' tool
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
    /// watches all daemons while `run` runs
    pub fn during(&self, world: &World, run: impl FnOnce()) {
        thread::scope(|scope| {
            for daemon in world.daemons() {
                scope.spawn(move || {
                    while !self.stop.load(Ordering::Relaxed) {
                        self.look(daemon);
                        thread::sleep(PERIOD);
                    }
                });
            }
            run();
            self.stop.store(true, Ordering::Relaxed);
        });
    }

    fn look(&self, daemon: &Daemon) {
        let process = || daemon.with_process(|child| Ok(child.id())).unwrap_or(0);
        let before = process();
        // A daemon that restarts does not answer for a while.
        let Ok(status) = status(daemon) else {
            return;
        };
        if process() != before {
            return;
        }
        self.seen.lock().expect("a lock").push(Seen {
            vm: daemon.vm().to_owned(),
            process: before,
            revision: status.revision,
            preset: status.preset,
        });
    }

    /// fails if a daemon went back, or two daemons disagree about a revision
    ///
    /// A process that has just started has no revision for a moment.
    ///
    /// # Panics
    /// When that was seen, or too little was seen.
    pub fn judge(&self) {
        let seen = self.seen.lock().expect("a lock");
        assert!(seen.len() >= FEWEST_LOOKS, "only {} looks", seen.len());
        let mut highest: BTreeMap<&str, &Seen> = BTreeMap::new();
        let mut presets: BTreeMap<u64, &str> = BTreeMap::new();
        for look in seen.iter().filter(|look| look.revision > 0) {
            if let Some(before) = highest.insert(&look.vm, look) {
                assert!(
                    look.revision >= before.revision,
                    "{before:?}, then {look:?}"
                );
            }
            let preset = presets.entry(look.revision).or_insert(&look.preset);
            assert_eq!(*preset, look.preset, "{look:?}");
        }
        let of_process = |look: &&Seen| (look.vm.clone(), look.process);
        let mut started: Vec<(String, u32)> = Vec::new();
        for look in seen.iter() {
            let key = of_process(&look);
            let known = started.contains(&key);
            assert!(!known || look.revision > 0, "lost its revision: {look:?}");
            if look.revision > 0 && !known {
                started.push(key);
            }
        }
    }
}
