//! Events of a day, generated from a seed.

use std::f64::consts::TAU;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::cloud::Market;

use crate::cloud::{Cloud, STEP, ZONES};

/// steps in an hour
const HOUR_STEPS: usize = 3_600 / STEP.as_secs() as usize;

/// steps before the measured day
pub const WARM_UP_STEPS: usize = HOUR_STEPS / 2;

/// steps of the day, including the warm-up
pub const STEPS: usize = WARM_UP_STEPS + 24 * HOUR_STEPS;

/// mean number of concurrent requests over the day
const MEAN_REQUESTS: f64 = 150.0;

/// amplitude of the daily curve of demand, as a fraction of the mean
const AMPLITUDE: f64 = 0.6;

/// amplitude of the noise from step to step, as a fraction
const NOISE: f64 = 0.1;

/// mean hours between reclaims of one whole zone
const ZONE_RECLAIM_HOURS: f64 = 6.0;

/// mean hours between reclaims of one single VM
const VM_RECLAIM_HOURS: f64 = 24.0;

/// mean hours between refusals of on-demand VMs in one zone
const REFUSAL_HOURS: f64 = 12.0;

/// mean hours between price changes in one zone
const PRICE_HOURS: f64 = 1.0;

/// generator of the events of a day
pub struct Day {
    random: ChaCha8Rng,
    // step at which each zone accepts starts again, of reclaimable and of on-demand VMs
    refusing_until: [[usize; 2]; ZONES.len()],
}

impl Day {
    pub fn new(seed: u64) -> Self {
        Day {
            random: ChaCha8Rng::seed_from_u64(seed),
            refusing_until: [[0; 2]; ZONES.len()],
        }
    }

    /// applies the events of a step and returns the number of concurrent requests
    pub fn step(&mut self, step: usize, cloud: &mut Cloud) -> u32 {
        for zone in 0..ZONES.len() {
            self.reclaim_zone(step, zone, cloud);
            if self.happens(REFUSAL_HOURS) {
                self.refusing_until[zone][1] =
                    step + self.random.random_range(HOUR_STEPS / 12..HOUR_STEPS / 2);
            }
            let factor = self.random.random_range(0.7..1.4);
            if self.happens(PRICE_HOURS) {
                let price = cloud.reclaimable_micros[zone] as f64 * factor;
                cloud.reclaimable_micros[zone] = price.clamp(150_000.0, 900_000.0) as u64;
            }
        }
        self.reclaim_vms(cloud);
        cloud.refusing = self.refusing(step);
        self.requests(step)
    }

    fn reclaim_zone(&mut self, step: usize, zone: usize, cloud: &mut Cloud) {
        let duration = self.random.random_range(HOUR_STEPS / 6..HOUR_STEPS);
        if self.happens(ZONE_RECLAIM_HOURS) {
            cloud.reclaim(zone);
            self.refusing_until[zone][0] = step + duration;
        }
    }

    /// reclaims single VMs, chosen by their position in the list
    fn reclaim_vms(&mut self, cloud: &mut Cloud) {
        let count = cloud.vms().count();
        let chosen: Vec<bool> = (0..count.max(64))
            .map(|_| self.happens(VM_RECLAIM_HOURS))
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
        for (zone, until) in self.refusing_until.iter().enumerate() {
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
        let time = step as f64 / (24 * HOUR_STEPS) as f64;
        let curve = 1.0 - AMPLITUDE * (TAU * time).cos();
        let noise = self.random.random_range(1.0 - NOISE..1.0 + NOISE);
        (MEAN_REQUESTS * curve * noise) as u32
    }

    /// whether an event with this mean interval occurs in this step
    fn happens(&mut self, hours: f64) -> bool {
        self.random.random_bool(1.0 / (hours * HOUR_STEPS as f64))
    }
}
