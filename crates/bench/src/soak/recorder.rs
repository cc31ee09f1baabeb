//! Collects the records of callers, fault injector and monitors.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

use super::check::wrong_responses;
use super::history::{EngineRun, History};

/// records of one run; no thread holds two of its locks at a time
#[derive(Debug)]
pub struct Recorder {
    history: Mutex<History>,
    engine_runs: Mutex<BTreeMap<RunKey, EngineRun>>,
    ready: Vec<AtomicBool>,
    finished: AtomicBool,
}

/// identifies one request on one VM
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunKey {
    vm: String,
    request_id: String,
    from: u32,
    started: u64,
}

impl Recorder {
    /// an empty recorder for this number of daemons, all of them marked as ready
    pub fn new(daemons: usize) -> Self {
        Self {
            history: Mutex::default(),
            engine_runs: Mutex::default(),
            ready: (0..daemons).map(|_| AtomicBool::new(true)).collect(),
            finished: AtomicBool::new(false),
        }
    }

    /// the records so far, without those of the engines
    pub fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().expect("history lock poisoned")
    }

    /// records a request on an engine, or replaces its former state
    pub fn record_engine_run(&self, run: EngineRun) {
        let key = RunKey {
            vm: run.vm.clone(),
            request_id: run.request_id.clone(),
            from: run.from,
            started: run.started,
        };
        let mut runs = self.engine_runs.lock().expect("engine runs lock poisoned");
        runs.insert(key, run);
    }

    /// records whether a daemon accepts requests
    pub fn set_ready(&self, daemon: usize, ready: bool) {
        self.ready[daemon].store(ready, Ordering::Relaxed);
    }

    /// indices of the daemons that accept requests
    pub fn ready_daemons(&self) -> Vec<usize> {
        let is_ready = |daemon: &usize| self.ready[*daemon].load(Ordering::Relaxed);
        (0..self.ready.len()).filter(is_ready).collect()
    }

    /// marks the run as finished, which ends all monitors
    pub fn finish(&self) {
        self.finished.store(true, Ordering::Relaxed);
    }

    /// true once the run is finished
    pub fn is_finished(&self) -> bool {
        self.finished.load(Ordering::Relaxed)
    }

    /// progress line with the counts so far
    pub fn progress(&self) -> String {
        let history = self.history();
        let (calls, wrong) = (history.calls.len(), wrong_responses(&history).len());
        format!(
            "calls={calls} wrong={wrong} faults={}",
            history.faults.len()
        )
    }

    /// all records, including those of the engines
    pub fn full_history(&self) -> History {
        let mut history = self.history().clone();
        let runs = self.engine_runs.lock().expect("engine runs lock poisoned");
        history.engine_runs = runs.values().cloned().collect();
        history
    }
}

/// milliseconds since the Unix epoch
pub fn now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
