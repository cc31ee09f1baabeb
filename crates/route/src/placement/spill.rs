//! Requests that go to the other region, as its VMs have less to do.
//!
//! Load pattern: one region has lost two thirds of its VMs. Its daemons see that a VM there waits, and
//! those across the link do not. If each of them compared the two, all requests would go there until the
//! next report, and back again after it. So a fraction goes. It moves what waits in this region beyond
//! the other one, and rises for as long as there is such a difference, until the demand that remains
//! fits.

use std::time::Duration;

/// part of the fraction of one report that is kept for the next ones: all of it moves the requests of the
/// next seconds to and fro, as reports are a second old
const KEPT_PART: f64 = 0.25;

/// fraction of a service's requests that leave this region
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Spill {
    kept: f64,
    fraction: f64,
    advantage: Duration,
}

/// the VMs of one region
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Region {
    vms: u32,
    waits: Duration,
}

impl Region {
    /// adds a VM with its wait
    pub fn add(&mut self, wait: Duration) {
        self.vms += 1;
        self.waits += wait;
    }

    fn mean_s(&self) -> f64 {
        self.waits.as_secs_f64() / f64::from(self.vms.max(1))
    }
}

impl Spill {
    /// applies reports: the waits in this region and in the other one, which is `link` away, and the work
    /// that arrives until the next ones have an effect, in time of one VM and half of it in each region
    pub fn update(&mut self, here: Region, there: Region, link: Duration, arriving: Duration) {
        let arriving_here = arriving.as_secs_f64() / 2.0;
        if here.vms == 0 || there.vms == 0 || arriving_here <= 0.0 {
            *self = Spill::default();
            return;
        }
        let advantage = here.mean_s() - there.mean_s();
        let gain = advantage - link.as_secs_f64();
        let per_vm = 1.0 / f64::from(here.vms) + 1.0 / f64::from(there.vms);
        let moved = gain / per_vm / arriving_here;
        self.kept = (self.kept + moved * KEPT_PART).clamp(0.0, 1.0);
        self.fraction = (self.kept + moved.max(0.0)).min(1.0);
        self.advantage = Duration::try_from_secs_f64(advantage)
            .unwrap_or_default()
            .max(link);
    }

    /// fraction of the requests that leave this region
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// what speaks against the VMs of this region for a request with a draw from 0 to 1
    pub fn penalty(&self, draw: f64) -> Duration {
        if draw < self.fraction {
            self.advantage
        } else {
            Duration::ZERO
        }
    }
}
