//! A day made from a seed.

use std::f64::consts::TAU;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::cloud::Market;

use crate::cloud::{Cloud, STEP, ZONES};

/// steps of an hour
const HOUR: usize = 3_600 / STEP.as_secs() as usize;

/// steps before the day that are not counted
pub const WARM_UP: usize = HOUR / 2;

/// steps of the day with the warm-up
pub const STEPS: usize = WARM_UP + 24 * HOUR;

/// requests at the same time, on the mean over the day
const MEAN_REQUESTS: f64 = 150.0;

/// share by which demand swings over the day
const SWING: f64 = 0.6;

/// share of noise from step to step
const NOISE: f64 = 0.1;

/// hours between waves in one zone, on the mean
const WAVE_HOURS: f64 = 6.0;

/// hours between reclaims of one single VM, on the mean
const SINGLE_HOURS: f64 = 24.0;

/// hours between refusals of on-demand VMs in one zone, on the mean
const REFUSAL_HOURS: f64 = 12.0;

/// hours between changes of price in one zone, on the mean
const PRICE_HOURS: f64 = 1.0;

/// what happens over a day
pub struct Day {
    random: ChaCha8Rng,
    // when each zone's markets take starts again, reclaimable and on-demand
    closed: [[usize; 2]; ZONES.len()],
}

impl Day {
    pub fn new(seed: u64) -> Self {
        Day {
            random: ChaCha8Rng::seed_from_u64(seed),
            closed: [[0; 2]; ZONES.len()],
        }
    }

    /// lets a step's events happen; gives the requests that want to run
    pub fn step(&mut self, step: usize, cloud: &mut Cloud) -> u32 {
        for zone in 0..ZONES.len() {
            self.wave(step, zone, cloud);
            if self.happens(REFUSAL_HOURS) {
                self.closed[zone][1] = step + self.random.random_range(HOUR / 12..HOUR / 2);
            }
            let factor = self.random.random_range(0.7..1.4);
            if self.happens(PRICE_HOURS) {
                let price = cloud.reclaimable_micros[zone] as f64 * factor;
                cloud.reclaimable_micros[zone] = price.clamp(150_000.0, 900_000.0) as u64;
            }
        }
        self.single(cloud);
        cloud.refusing = self.refusing(step);
        self.requests(step)
    }

    fn wave(&mut self, step: usize, zone: usize, cloud: &mut Cloud) {
        let closed = self.random.random_range(HOUR / 6..HOUR);
        if self.happens(WAVE_HOURS) {
            cloud.reclaim(zone);
            self.closed[zone][0] = step + closed;
        }
    }

    /// single VMs, chosen by their place in the list
    fn single(&mut self, cloud: &mut Cloud) {
        let count = cloud.vms().count();
        let chosen: Vec<bool> = (0..count.max(64))
            .map(|_| self.happens(SINGLE_HOURS))
            .collect();
        let names: Vec<String> = cloud
            .vms()
            .zip(chosen)
            .filter(|(_, chosen)| *chosen)
            .map(|(vm, _)| vm.name.clone())
            .collect();
        for name in names {
            cloud.reclaim_one(&name);
        }
    }

    fn refusing(&self, step: usize) -> Vec<(usize, Market)> {
        let mut refusing = Vec::new();
        for (zone, until) in self.closed.iter().enumerate() {
            for (index, market) in [Market::Reclaimable, Market::OnDemand]
                .into_iter()
                .enumerate()
            {
                if step < until[index] {
                    refusing.push((zone, market));
                }
            }
        }
        refusing
    }

    fn requests(&mut self, step: usize) -> u32 {
        let time = step as f64 / (24 * HOUR) as f64;
        let curve = 1.0 - SWING * (TAU * time).cos();
        let noise = self.random.random_range(1.0 - NOISE..1.0 + NOISE);
        (MEAN_REQUESTS * curve * noise) as u32
    }

    /// whether something with this mean time between happens in this step
    fn happens(&mut self, hours: f64) -> bool {
        self.random.random_bool(1.0 / (hours * HOUR as f64))
    }
}
