//! One VM and what runs on it.

use std::time::{Duration, Instant};

use schema::cloud::{Market, State, Vm};

use super::control::Charge;
use crate::engine;

const HOUR: Duration = Duration::from_secs(3_600);

/// a VM that exists
#[derive(Debug)]
pub struct Machine {
    /// as the list shows it
    pub vm: Vm,
    /// pass notices on to its address
    pub forward_notice: bool,
    /// when a starting VM is live
    pub live_at: Instant,
    /// when a leaving VM is taken
    pub taken_at: Option<Instant>,
    /// what a started VM runs
    pub engine: Option<engine::Server>,
    charged_at: Instant,
    micros: f64,
}

impl Machine {
    /// a VM that is live after `start`
    pub fn new(vm: Vm, start: Duration) -> Self {
        let now = Instant::now();
        Self {
            vm,
            forward_notice: false,
            live_at: now + start,
            taken_at: None,
            engine: None,
            charged_at: now,
            micros: 0.0,
        }
    }

    /// charges the time since the last charge
    pub fn charge(&mut self, micros_per_hour: u64) {
        let hours = self.charged_at.elapsed().as_secs_f64() / HOUR.as_secs_f64();
        self.charged_at = Instant::now();
        self.micros += hours * micros_per_hour as f64;
    }

    /// what it cost so far
    pub fn charged(&self) -> Charge {
        Charge {
            vm: self.vm.name.clone(),
            market: self.vm.market,
            micros: self.micros as u64,
        }
    }

    /// true if a wave in `zone` takes it
    pub fn is_reclaimable_in(&self, zone: &str) -> bool {
        self.vm.zone == zone && self.vm.market == Market::Reclaimable
    }

    /// true if it starts and its time has come
    pub fn is_due_live(&self, now: Instant) -> bool {
        self.vm.state == State::Starting && self.live_at <= now
    }

    /// true if its time is over
    pub fn is_due_taken(&self, now: Instant) -> bool {
        self.taken_at.is_some_and(|at| at <= now)
    }
}
