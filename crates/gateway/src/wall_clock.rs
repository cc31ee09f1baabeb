//! The time of day, for what is counted in windows of it.
//!
//! The time of day of a VM may jump by seconds and back, while windows follow true time. So it is
//! read once, at the start, and the monotonic clock that includes suspension carries it on. A VM
//! that starts with a wrong time is corrected by its peers: in its first seconds it takes the
//! median of their estimates and its own reading. Later it follows its own reading at a limited
//! rate, so that the two never drift apart for long and a jump hardly matters.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::clock::Clock;

/// process age up to which the estimates of peers count
const START_TIME: Duration = Duration::from_secs(5);

/// largest change of the estimate by the VM's own reading, milliseconds per second
const MAX_SLEW_MS_PER_S: f64 = 1.0;

/// estimate of the difference between the time of day and a steady clock, milliseconds
#[derive(Debug, Clone)]
pub struct Estimate {
    offset: f64,
    own: f64,
    peers: HashMap<String, f64>,
    corrected_at: Duration,
}

impl Estimate {
    /// creates an estimate from the VM's own reading at the start
    pub fn new(own: f64) -> Estimate {
        Estimate {
            offset: own,
            own,
            peers: HashMap::new(),
            corrected_at: Duration::ZERO,
        }
    }

    /// adds the estimate of a peer, received at a process age
    pub fn add_peer(&mut self, name: &str, offset: f64, age: Duration) {
        if age > START_TIME {
            return;
        }
        self.peers.insert(name.to_owned(), offset);
        let mut offsets: Vec<f64> = self.peers.values().copied().collect();
        offsets.push(self.own);
        offsets.sort_by(f64::total_cmp);
        self.offset = offsets[offsets.len() / 2];
    }

    /// returns the estimate at a process age, given the VM's own reading
    pub fn at(&mut self, own: f64, age: Duration) -> f64 {
        let passed = age.saturating_sub(self.corrected_at).as_secs_f64();
        self.corrected_at = age.max(self.corrected_at);
        if age > START_TIME {
            let limit = MAX_SLEW_MS_PER_S * passed;
            self.offset += (own - self.offset).clamp(-limit, limit);
        }
        self.offset
    }
}

/// the estimated time of day
#[derive(Debug)]
pub struct WallClock {
    clock: Clock,
    started: Instant,
    reading: Cell<fn() -> SystemTime>,
    estimate: RefCell<Estimate>,
}

impl WallClock {
    /// starts with the VM's time of day
    pub fn start(clock: Clock) -> WallClock {
        WallClock::with_reading(clock, SystemTime::now)
    }

    /// starts with a time of day that is read by a function
    pub fn with_reading(clock: Clock, reading: fn() -> SystemTime) -> WallClock {
        WallClock {
            clock,
            started: clock.now(),
            reading: Cell::new(reading),
            estimate: RefCell::new(Estimate::new(since_epoch_ms(reading()))),
        }
    }

    /// replaces the function that reads the time of day
    pub fn set_reading(&self, reading: fn() -> SystemTime) {
        self.reading.set(reading);
    }

    /// the estimated time of day
    pub fn now(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_millis(self.now_ms())
    }

    /// the estimated time of day, milliseconds since the Unix epoch
    pub fn now_ms(&self) -> u64 {
        let age = self.age();
        let age_ms = age.as_secs_f64() * 1000.0;
        let own = since_epoch_ms(self.reading.get()()) - age_ms;
        let offset = self.estimate.borrow_mut().at(own, age);
        (offset + age_ms).max(0.0) as u64
    }

    /// adds the estimate of a peer that has just been received
    pub fn add_peer(&self, name: &str, time_ms: u64) {
        let age = self.age();
        let offset = time_ms as f64 - age.as_secs_f64() * 1000.0;
        self.estimate.borrow_mut().add_peer(name, offset, age);
    }

    fn age(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.started)
    }
}

fn since_epoch_ms(time: SystemTime) -> f64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_secs_f64() * 1000.0
}
