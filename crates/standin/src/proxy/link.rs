//! The network link that one or several proxies share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::{Duration, Instant};

use macro_rules_attribute::apply;
use schema::value;

use super::faults::{Counts, Faults};
use crate::RateLimiter;
use crate::http::Stop;

/// interval at which waiting threads check for a stop
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// longest time until the proxies of a link have applied a cut or its end
const APPLY_TIME: Duration = Duration::from_secs(2);

/// interval between two checks of whether they have
const APPLY_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// how far a proxy has applied the state of its link
#[derive(Debug, Default)]
pub(super) struct Applied {
    /// whether it listens
    pub is_listening: AtomicBool,
    /// whether it has closed its connections after a cut
    pub is_closed: AtomicBool,
}

impl Applied {
    fn is(&self, cut: bool) -> bool {
        self.is_listening.load(Ordering::SeqCst) != cut
            && self.is_closed.load(Ordering::SeqCst) == cut
    }
}

/// direction on a link
#[apply(value!)]
pub enum Direction {
    /// from the near end to the far end
    Forth,
    /// from the far end to the near end
    Back,
}

/// delay, bandwidth, faults and counts of a network link
#[derive(Debug)]
pub struct Link {
    state: Mutex<State>,
    changed: Condvar,
    proxies: Mutex<Vec<Weak<Applied>>>,
    limiters: [RateLimiter; 2],
    bytes: [AtomicU64; 2],
    connections: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    delay: Duration,
    faults: Faults,
    freeze_epoch: u64,
}

/// whether a connection may transfer bytes
#[apply(value!)]
pub enum ConnectionState {
    /// bytes are transferred
    Open,
    /// it stays open but transfers nothing more
    Frozen,
    /// it has to be closed
    Closed,
}

impl Link {
    /// a link with this delay and this bandwidth in each direction, 0 for no limit
    pub fn new(delay: Duration, bytes_per_second: u64) -> Self {
        Self {
            state: Mutex::new(State {
                delay,
                ..State::default()
            }),
            changed: Condvar::new(),
            proxies: Mutex::default(),
            limiters: [
                RateLimiter::new(bytes_per_second),
                RateLimiter::new(bytes_per_second),
            ],
            bytes: [AtomicU64::new(0), AtomicU64::new(0)],
            connections: AtomicU64::new(0),
        }
    }

    /// replaces all faults; `freeze` freezes the connections that are open at this moment
    ///
    /// Returns once the proxies of the link have closed or opened their listeners and closed their
    /// connections, if the link is cut or no longer cut.
    pub fn set_faults(&self, faults: Faults) {
        let cut = faults.cut;
        let mut state = self.lock();
        let is_changed = state.faults.cut != cut;
        if faults.freeze {
            state.freeze_epoch += 1;
        }
        state.faults = faults;
        self.changed.notify_all();
        drop(state);
        if is_changed {
            self.wait_until_applied(cut);
        }
    }

    /// adds a proxy that runs on this link
    pub(super) fn attach(&self, proxy: &Arc<Applied>) {
        let mut proxies = self.proxies.lock().expect("proxies lock poisoned");
        proxies.retain(|proxy| proxy.strong_count() > 0);
        proxies.push(Arc::downgrade(proxy));
    }

    fn wait_until_applied(&self, cut: bool) {
        let deadline = Instant::now() + APPLY_TIME;
        while Instant::now() < deadline {
            let proxies = self.proxies.lock().expect("proxies lock poisoned");
            let mut running = proxies.iter().filter_map(Weak::upgrade);
            if running.all(|proxy| proxy.is(cut)) {
                return;
            }
            drop(proxies);
            thread::sleep(APPLY_POLL_INTERVAL);
        }
    }

    /// sets the delay of each direction
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// sets the bandwidth of each direction, bytes per second; 0 for no limit
    pub fn set_bandwidth(&self, bytes_per_second: u64) {
        for limiter in &self.limiters {
            limiter.set(bytes_per_second);
        }
    }

    /// number of connections and bytes so far
    pub fn counts(&self) -> Counts {
        Counts {
            connections: self.connections.load(Ordering::Relaxed),
            forth: self.bytes[Direction::Forth as usize].load(Ordering::Relaxed),
            back: self.bytes[Direction::Back as usize].load(Ordering::Relaxed),
        }
    }

    /// delay of each direction
    pub(super) fn delay(&self) -> Duration {
        self.lock().delay
    }

    /// counts a connection and returns the number of freezes before it
    pub(super) fn count_connection(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::Relaxed);
        self.lock().freeze_epoch
    }

    /// counts bytes and returns when they arrive at the other end
    pub(super) fn schedule(&self, direction: Direction, bytes: usize) -> Instant {
        self.bytes[direction as usize].fetch_add(bytes as u64, Ordering::Relaxed);
        self.limiters[direction as usize].reserve(bytes) + self.delay()
    }

    /// whether to lose the response to this request; takes one from `lose_answers`
    pub(super) fn consume_lost_response(&self, request: &[u8]) -> bool {
        let mut state = self.lock();
        let faults = &mut state.faults;
        if faults.lose_answers == 0 || !request.starts_with(faults.lose_prefix.as_bytes()) {
            return false;
        }
        faults.lose_answers -= 1;
        true
    }

    /// whether the link is cut
    pub(super) fn is_cut(&self) -> bool {
        self.lock().faults.cut
    }

    /// blocks until the fault `cut` has this value, or `stop` is set
    pub(super) fn wait_until_cut_is(&self, cut: bool, stop: &Stop) {
        let mut state = self.lock();
        while state.faults.cut != cut && !stop.is_set() {
            state = self
                .changed
                .wait_timeout(state, STOP_POLL_INTERVAL)
                .expect("link lock poisoned")
                .0;
        }
    }

    /// blocks while a blackhole holds back the bytes of a connection opened in `freeze_epoch`
    pub(super) fn wait_while_blackholed(&self, freeze_epoch: u64, stop: &Stop) -> ConnectionState {
        let mut state = self.lock();
        loop {
            if stop.is_set() || state.faults.cut {
                return ConnectionState::Closed;
            }
            if state.freeze_epoch != freeze_epoch {
                return ConnectionState::Frozen;
            }
            if !state.faults.blackhole {
                return ConnectionState::Open;
            }
            state = self
                .changed
                .wait_timeout(state, STOP_POLL_INTERVAL)
                .expect("link lock poisoned")
                .0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("link lock poisoned")
    }
}
