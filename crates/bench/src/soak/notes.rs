//! Where callers, faults and watches note what they saw.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

use super::facts::{Engine, Facts};
use super::judge::wrong_answers;

/// notes of one run; each lock is taken alone
#[derive(Debug)]
pub struct Notes {
    facts: Mutex<Facts>,
    engines: Mutex<BTreeMap<Stream, Engine>>,
    up: Vec<AtomicBool>,
    over: AtomicBool,
}

/// one stream on one VM
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Stream {
    vm: String,
    request_id: String,
    from: u32,
    started: u64,
}

impl Notes {
    /// empty notes about so many daemons
    pub fn new(daemons: usize) -> Self {
        Self {
            facts: Mutex::default(),
            engines: Mutex::default(),
            up: (0..daemons).map(|_| AtomicBool::new(true)).collect(),
            over: AtomicBool::new(false),
        }
    }

    /// the facts so far, but for the engines' streams
    pub fn facts(&self) -> MutexGuard<'_, Facts> {
        self.facts.lock().expect("facts lock")
    }

    /// notes a stream on an engine, again with its present state
    pub fn engine(&self, engine: Engine) {
        let stream = Stream {
            vm: engine.vm.clone(),
            request_id: engine.request_id.clone(),
            from: engine.from,
            started: engine.started,
        };
        let mut engines = self.engines.lock().expect("engines lock");
        engines.insert(stream, engine);
    }

    /// notes whether a daemon takes requests
    pub fn set_up(&self, daemon: usize, up: bool) {
        self.up[daemon].store(up, Ordering::Relaxed);
    }

    /// daemons that take requests
    pub fn up(&self) -> Vec<usize> {
        let is_up = |daemon: &usize| self.up[*daemon].load(Ordering::Relaxed);
        (0..self.up.len()).filter(is_up).collect()
    }

    /// ends all watches
    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// true once the run is over
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// one line on the run so far
    pub fn progress(&self) -> String {
        let facts = self.facts();
        let (calls, wrong) = (facts.calls.len(), wrong_answers(&facts).len());
        format!("calls={calls} wrong={wrong} faults={}", facts.windows.len())
    }

    /// everything for the judge
    pub fn finish(&self) -> Facts {
        let mut facts = self.facts().clone();
        let engines = self.engines.lock().expect("engines lock");
        facts.engines = engines.values().cloned().collect();
        facts
    }
}

/// milliseconds since 1970
pub fn now() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
