//! A limit shared by daemons of several zones, whose reports take seconds to reach other zones.
//!
//! Replays the load under which a workspace exceeded its limit on deployments of 65 to 85 daemons:
//! its traffic jumps to a multiple of its limit everywhere at once.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::quota::{Limit, PeerSpending, Quota};
use tokio::time::Instant;

const ZONES: usize = 6;
const PER_ZONE: usize = 14;
const DAEMONS: usize = ZONES * PER_ZONE;

/// interval between two reports of a daemon to each peer of its zone
const REPORT_INTERVAL: Duration = Duration::from_millis(1200);

/// simulated step
const STEP: Duration = Duration::from_millis(100);

/// steps until spending is known in the zone, and in other zones
const ZONE_DELAY: usize = 12;
const REMOTE_DELAY: usize = 36;

/// limit that the deployment states, per second and at once, and what may be spent beyond it
const RATE: f64 = 480_000.0;
const BURST: f64 = 560_000.0;
const WINDOW: Duration = Duration::from_secs(8);
const TOLERANCE: f64 = 0.1;
const SLACK: f64 = 140_000.0;

/// smallest and largest size of a request
const SIZES: std::ops::Range<f64> = 800.0..26_000.0;

struct Daemon {
    quota: Quota,
    /// units spent up to each step
    spent: Vec<f64>,
    demand: Vec<f64>,
    applied: f64,
    next_report: usize,
}

struct Fleet {
    daemons: Vec<Daemon>,
    rng: ChaCha8Rng,
    now: Instant,
    step: usize,
    refused: f64,
    offered: f64,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let now = Instant::now();
        // half of the tolerance is added to the rate, as the gateway does
        let tolerance = (RATE * WINDOW.as_secs_f64() + BURST) * TOLERANCE + SLACK;
        let limit = Limit {
            rate: RATE + tolerance / 2.0 / WINDOW.as_secs_f64(),
            burst: BURST,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut daemons = Vec::new();
        for _ in 0..DAEMONS {
            daemons.push(Daemon {
                quota: Quota::new(limit, BURST, 1.0 / DAEMONS as f64, now),
                spent: vec![0.0],
                demand: vec![0.0],
                applied: 0.0,
                next_report: rng.random_range(0..12),
            });
        }
        Fleet {
            daemons,
            rng,
            now,
            step: 0,
            refused: 0.0,
            offered: 0.0,
        }
    }

    /// lets callers request a multiple of the stated rate for a time
    fn run(&mut self, load: f64, time: Duration) {
        let steps = time.as_millis() / STEP.as_millis();
        let mean = f64::midpoint(SIZES.start, SIZES.end);
        let per_step = load * RATE * STEP.as_secs_f64() / mean / DAEMONS as f64;
        for _ in 0..steps {
            for daemon in &mut self.daemons {
                let mut left = per_step;
                while self.rng.random::<f64>() < left {
                    left -= 1.0;
                    let units = self.rng.random_range(SIZES);
                    self.offered += units;
                    if daemon.quota.spend(units, self.now).is_err() {
                        self.refused += units;
                    }
                }
                daemon.spent.push(daemon.quota.spent());
                daemon.demand.push(daemon.quota.demand(self.now));
            }
            self.step += 1;
            self.now += STEP;
            for index in 0..DAEMONS {
                if self.step >= self.daemons[index].next_report {
                    self.report(index);
                }
            }
        }
    }

    /// applies what a daemon knows of its peers
    fn report(&mut self, index: usize) {
        let (mut spent, mut demand) = (0.0, 0.0);
        for (other, daemon) in self.daemons.iter().enumerate() {
            if other == index {
                continue;
            }
            let is_local = other / PER_ZONE == index / PER_ZONE;
            let delay = if is_local { ZONE_DELAY } else { REMOTE_DELAY };
            let at = self.step.saturating_sub(delay);
            spent += daemon.spent[at];
            demand += daemon.demand[at];
        }
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let peers = PeerSpending {
            spent: spent - daemon.applied,
            demand,
            daemons: DAEMONS,
            is_partial: false,
        };
        daemon.quota.apply_peers(&peers, now);
        daemon.applied = spent;
        let interval = REPORT_INTERVAL.as_millis() / STEP.as_millis();
        daemon.next_report = self.step + interval as usize;
    }

    /// most units spent in a window
    fn worst_window(&self) -> f64 {
        let total =
            |step: usize| -> f64 { self.daemons.iter().map(|daemon| daemon.spent[step]).sum() };
        let totals: VecDeque<f64> = (0..=self.step).map(total).collect();
        let steps = (WINDOW.as_millis() / STEP.as_millis()) as usize;
        let windows = (steps..=self.step).map(|at| totals[at] - totals[at - steps]);
        windows.fold(0.0, f64::max)
    }
}

/// the deployment's bound on a window
fn allowed() -> f64 {
    (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + TOLERANCE) + SLACK
}

#[test]
fn jump_of_the_traffic_keeps_to_the_limit() {
    for seed in 0..10 {
        for load in [1.6, 3.0, 8.0] {
            let mut fleet = Fleet::new(seed);
            fleet.run(0.5, Duration::from_secs(12));
            fleet.run(load, Duration::from_secs(16));
            let worst = fleet.worst_window();
            let allowed = allowed();
            let share = worst / allowed;
            assert!(
                share <= 1.0,
                "seed {seed}, load {load}: {worst:.0} of {allowed:.0} ({share:.3})"
            );
        }
    }
}

#[test]
fn workspace_below_its_limit_is_hardly_refused() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed);
        fleet.run(0.85, Duration::from_secs(40));
        let share = fleet.refused / fleet.offered;
        assert!(share < 0.01, "seed {seed}: {share:.4} refused");
    }
}
