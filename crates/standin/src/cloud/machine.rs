//! One simulated VM: its life cycle, its engine and its cost.

use std::time::{Duration, Instant};

use schema::cloud::{Market, State, Vm};

use super::control::Charge;
use crate::engine;

const HOUR: Duration = Duration::from_secs(3_600);

/// a VM that has been started and not yet removed
#[derive(Debug)]
pub struct Machine {
    /// as it appears in the list
    pub vm: Vm,
    /// forward preemption notices to its address
    pub forward_notice: bool,
    /// when a starting VM becomes live
    pub live_at: Instant,
    /// when a reclaimed VM is removed
    pub reclaim_at: Option<Instant>,
    /// engine that runs on it, if it was started with one
    pub engine: Option<engine::Server>,
    accrued_at: Instant,
    micros: f64,
}

impl Machine {
    /// a VM that becomes live after `boot_time`
    pub fn new(vm: Vm, boot_time: Duration) -> Self {
        let now = Instant::now();
        Self {
            vm,
            forward_notice: false,
            live_at: now + boot_time,
            reclaim_at: None,
            engine: None,
            accrued_at: now,
            micros: 0.0,
        }
    }

    /// adds the cost of the time since the last call
    pub fn accrue(&mut self, micros_per_hour: u64) {
        let hours = self.accrued_at.elapsed().as_secs_f64() / HOUR.as_secs_f64();
        self.accrued_at = Instant::now();
        self.micros += hours * micros_per_hour as f64;
    }

    /// cost so far
    pub fn charge(&self) -> Charge {
        Charge {
            vm: self.vm.name.clone(),
            market: self.vm.market,
            micros: self.micros as u64,
        }
    }

    /// whether a reclaim of `zone` includes it
    pub fn is_reclaimable_in(&self, zone: &str) -> bool {
        self.vm.zone == zone && self.vm.market == Market::Reclaimable
    }

    /// whether it is starting and its boot time has passed
    pub fn is_start_due(&self, now: Instant) -> bool {
        self.vm.state == State::Starting && self.live_at <= now
    }

    /// whether its notice period has passed
    pub fn is_reclaim_due(&self, now: Instant) -> bool {
        self.reclaim_at.is_some_and(|at| at <= now)
    }
}
