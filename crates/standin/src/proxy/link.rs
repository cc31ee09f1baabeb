//! The line that one or several proxies share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use macro_rules_attribute::apply;
use schema::value;

use super::faults::{Counts, Faults};
use crate::Pace;
use crate::http::Stop;

/// longest time between a stop and the end of a waiting thread
const STOP_POLL: Duration = Duration::from_millis(50);

/// direction on a link
#[apply(value!)]
pub enum Way {
    /// from the near end to the far end
    Forth,
    /// from the far end to the near end
    Back,
}

/// delay, bandwidth, faults and counts of a line
#[derive(Debug)]
pub struct Link {
    state: Mutex<State>,
    changed: Condvar,
    paces: [Pace; 2],
    bytes: [AtomicU64; 2],
    connections: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    delay: Duration,
    faults: Faults,
    epoch: u64,
}

/// what a connection may do
#[apply(value!)]
pub enum Gate {
    /// bytes pass
    Open,
    /// it is silent for good
    Frozen,
    /// it is closed
    Closed,
}

impl Link {
    /// `delay` each way; `bytes_per_second` each way, 0 for no limit
    pub fn new(delay: Duration, bytes_per_second: u64) -> Self {
        Self {
            state: Mutex::new(State {
                delay,
                ..State::default()
            }),
            changed: Condvar::new(),
            paces: [Pace::new(bytes_per_second), Pace::new(bytes_per_second)],
            bytes: [AtomicU64::new(0), AtomicU64::new(0)],
            connections: AtomicU64::new(0),
        }
    }

    /// replaces the faults
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        if faults.freeze {
            state.epoch += 1;
        }
        state.faults = faults;
        self.changed.notify_all();
    }

    /// changes the delay of each way
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// changes the limit of each way, bytes per second; 0 for none
    pub fn set_bandwidth(&self, bytes_per_second: u64) {
        for pace in &self.paces {
            pace.set(bytes_per_second);
        }
    }

    /// connections and bytes so far
    pub fn counts(&self) -> Counts {
        Counts {
            connections: self.connections.load(Ordering::Relaxed),
            forth: self.bytes[Way::Forth as usize].load(Ordering::Relaxed),
            back: self.bytes[Way::Back as usize].load(Ordering::Relaxed),
        }
    }

    /// delay of each way
    pub(super) fn delay(&self) -> Duration {
        self.lock().delay
    }

    /// counts a connection and returns the number of freezes before it
    pub(super) fn connect(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::Relaxed);
        self.lock().epoch
    }

    /// counts bytes and returns when they arrive
    pub(super) fn book(&self, way: Way, bytes: usize) -> Instant {
        self.bytes[way as usize].fetch_add(bytes as u64, Ordering::Relaxed);
        self.paces[way as usize].reserve(bytes) + self.delay()
    }

    /// true if the answer to this request is to be lost; uses the fault up
    pub(super) fn loses_answer(&self, request: &[u8]) -> bool {
        let mut state = self.lock();
        let faults = &mut state.faults;
        if faults.lose_answers == 0 || !request.starts_with(faults.lose_prefix.as_bytes()) {
            return false;
        }
        faults.lose_answers -= 1;
        true
    }

    /// true while it is cut
    pub(super) fn is_cut(&self) -> bool {
        self.lock().faults.cut
    }

    /// blocks until it is cut, or whole again, or `stop` is set
    pub(super) fn wait_cut(&self, cut: bool, stop: &Stop) {
        let mut state = self.lock();
        while state.faults.cut != cut && !stop.is_set() {
            state = self
                .changed
                .wait_timeout(state, STOP_POLL)
                .expect("link lock")
                .0;
        }
    }

    /// blocks while bytes of a connection of `epoch` are held back
    pub(super) fn pass(&self, epoch: u64, stop: &Stop) -> Gate {
        let mut state = self.lock();
        loop {
            if stop.is_set() || state.faults.cut {
                return Gate::Closed;
            }
            if state.epoch != epoch {
                return Gate::Frozen;
            }
            if !state.faults.blackhole {
                return Gate::Open;
            }
            state = self
                .changed
                .wait_timeout(state, STOP_POLL)
                .expect("link lock")
                .0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("link lock")
    }
}
